//! From an identifier to the cause, over several processes' lines.

use stageyoke_observe::explain::Logs;

fn ended(time: u64, node: &str, request: &str, outcome: &str, status: u16) -> String {
    format!(
        r#"{{"time":{time},"node":"{node}","name":"RequestEnded","event":800,"request":"{request}","program":"p-1","outcome":"{outcome}","status":{status},"milliseconds":40,"ledger":"budget=100 others=90 most=20"}}"#
    )
}

#[test]
fn a_programs_requests_come_in_order_over_machines_with_what_happened_around() {
    let mut logs = Logs::default();
    logs.add(&format!(
        "{}\n{}\ntorn {{\"time\":1\n\n",
        ended(9_000, "front-2", "r-2", "budget_spent", 402),
        r#"{"time":5_100,"node":"x"}"#,
    ));
    logs.add(&format!(
        "  12.5 front-1 {}\n{}\n{}\n",
        ended(5_000, "front-1", "r-1", "budget_not_reserved", 503),
        r#"{"time":4900,"node":"front-1","name":"GroupFailing","event":705,"detail":"for=600ms"}"#,
        r#"{"time":100,"node":"front-1","name":"NodeStarted","event":100}"#,
    ));
    logs.add(r#"{"name":"LinesLeftOut","left_out":7,"dropped":0}"#);
    let told = logs.explain("p-1");
    assert_eq!(told.causes.len(), 2);
    assert!(
        told.causes[0].contains("no quorum of stores"),
        "{:?}",
        told.causes
    );
    assert!(told.causes[1].contains("exceed the budget"));
    assert!(told.causes[1].contains("others=90"));
    assert_eq!(told.timeline.len(), 3, "{:#?}", told.timeline);
    assert!(
        told.timeline[0].contains("GroupFailing"),
        "what happened around it is shown"
    );
    assert_eq!((told.unreadable, told.omitted), (2, 7));
}

#[test]
fn nothing_known_is_said_so() {
    let told = Logs::default().explain("r-9");
    assert!(told.to_string().contains("nothing was logged"));
}

/// A group of stores that can't heal says once what it waits for, maybe long before a
/// turn is refused for it; what is over by then is left out.
#[test]
fn what_stores_wait_for_is_part_of_the_story() {
    let waits = |time: u64, node: &str, detail: &str| {
        format!(
            r#"{{"time":{time},"node":"{node}","name":"ListWaits","event":708,"detail":"{detail}"}}"#
        )
    };
    let mut logs = Logs::default();
    logs.add(&waits(1_000, "store-1", "waits_for=completeness version=3"));
    logs.add(&waits(2_000, "store-1", "waits_for=successor version=3"));
    logs.add(&waits(1_500, "store-2", "waits_for=fence version=4"));
    logs.add(&waits(2_500, "store-2", "waits_for=nothing version=5"));
    logs.add(&waits(90_000, "store-3", "waits_for=fence version=9"));
    logs.add(&ended(60_000, "front-1", "r-1", "store_group_failing", 503));
    let told = logs.explain("r-1");
    assert_eq!(told.timeline.len(), 2, "{:#?}", told.timeline);
    assert!(told.timeline[0].contains("store-1 ListWaits detail=waits_for=successor"));
}

/// From a refusal for a tenant's sake to its cause, with what happened around it: who it
/// was, by which limit and which configuration, and whether a store decided.
#[rstest::rstest]
#[case(
    "quota_spent",
    429,
    "its tenant's limit was not enough",
    "QuotaUnknown"
)]
#[case("quota_share_spent", 429, "no owner answered", "QuotaUnknown")]
#[case(
    "unknown_key",
    401,
    "no tenant of the confirmed configuration",
    "KeyContested"
)]
#[case("key_not_confirmed", 503, "too old to know", "KeysUnconfirmed")]
fn a_refusal_for_a_tenants_sake_is_traced_to_its_cause(
    #[case] outcome: &str,
    #[case] status: u16,
    #[case] meaning: &str,
    #[case] around: &str,
) {
    let line = ended(5_000, "front-1", "r-1", outcome, status);
    let known = r#""tenant":"ann","limit":"22+22","routes_version":9,"directory_age":700,"#;
    let line = line.replacen('{', &format!("{{{known}"), 1);
    let event = format!(r#"{{"time":4800,"node":"front-1","name":"{around}","detail":"x=1"}}"#);
    let mut logs = Logs::default();
    logs.add(&format!("{line}\n{event}\n"));
    let told = logs.explain("r-1");
    let cause = &told.causes[0];
    assert!(cause.contains(&format!("status {status}")), "{cause}");
    assert!(cause.contains(meaning), "{cause}");
    assert!(cause.contains("tenant [ann] limit [22+22]"), "{cause}");
    assert!(cause.contains("routes version 9 of 700 ms ago"), "{cause}");
    assert!(told.timeline.iter().any(|line| line.contains(around)));
}
