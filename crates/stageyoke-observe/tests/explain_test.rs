//! Explaining a request or program from the logs of several processes.

use stageyoke_observe::explain::Logs;

fn request_line(time: u64, node: &str, request: &str, outcome: &str, status: u16) -> String {
    format!(
        r#"{{"time":{time},"node":"{node}","name":"RequestEnded","event":800,"request":"{request}","program":"p-1","outcome":"{outcome}","status":{status},"milliseconds":40,"ledger":"budget=100 others=90 most=20"}}"#
    )
}

#[test]
fn requests_of_a_program_are_ordered_across_nodes_with_nearby_events() {
    let mut logs = Logs::default();
    logs.add(&format!(
        "{}\n{}\ntorn {{\"time\":1\n\n",
        request_line(9_000, "front-2", "r-2", "budget_spent", 402),
        r#"{"time":5_100,"node":"x"}"#,
    ));
    logs.add(&format!(
        "  12.5 front-1 {}\n{}\n{}\n",
        request_line(5_000, "front-1", "r-1", "budget_not_reserved", 503),
        r#"{"time":4900,"node":"front-1","name":"GroupFailing","event":705,"detail":"for=600ms"}"#,
        r#"{"time":100,"node":"front-1","name":"NodeStarted","event":100}"#,
    ));
    logs.add(r#"{"name":"LinesLeftOut","left_out":7,"dropped":0}"#);
    let explanation = logs.explain("p-1");
    assert_eq!(explanation.causes.len(), 2);
    assert!(
        explanation.causes[0].contains("no quorum of stores"),
        "{:?}",
        explanation.causes
    );
    assert!(explanation.causes[1].contains("exceed the budget"));
    assert!(explanation.causes[1].contains("others=90"));
    assert_eq!(explanation.timeline.len(), 3, "{:#?}", explanation.timeline);
    assert!(
        explanation.timeline[0].contains("GroupFailing"),
        "events near the request are included"
    );
    assert_eq!((explanation.unreadable, explanation.omitted), (2, 7));
}

#[test]
fn an_unknown_identifier_is_reported_as_not_logged() {
    let explanation = Logs::default().explain("r-9");
    assert!(explanation.to_string().contains("nothing was logged"));
}

/// A store group logs what it waits for only on a change, so an unresolved wait must be
/// shown however old it is, and a resolved one must not.
#[test]
fn unresolved_store_waits_are_part_of_the_timeline() {
    let wait_line = |time: u64, node: &str, detail: &str| {
        format!(
            r#"{{"time":{time},"node":"{node}","name":"ListWaits","event":708,"detail":"{detail}"}}"#
        )
    };
    let mut logs = Logs::default();
    logs.add(&wait_line(
        1_000,
        "store-1",
        "waits_for=completeness version=3",
    ));
    logs.add(&wait_line(
        2_000,
        "store-1",
        "waits_for=successor version=3",
    ));
    logs.add(&wait_line(1_500, "store-2", "waits_for=fence version=4"));
    logs.add(&wait_line(2_500, "store-2", "waits_for=nothing version=5"));
    logs.add(&wait_line(90_000, "store-3", "waits_for=fence version=9"));
    logs.add(&request_line(
        60_000,
        "front-1",
        "r-1",
        "store_group_failing",
        503,
    ));
    let explanation = logs.explain("r-1");
    assert_eq!(explanation.timeline.len(), 2, "{:#?}", explanation.timeline);
    assert!(explanation.timeline[0].contains("store-1 ListWaits detail=waits_for=successor"));
}

/// Guards against a given-up response whose log line does not tell who was to blame.
#[rstest::rstest]
#[case("oversized_response", "exceeded the size limit")]
#[case("oversized_head", "too much before its answer")]
#[case("no_memory_for_response", "this front's memory budget")]
fn a_response_that_was_given_up_is_explained(#[case] outcome: &str, #[case] meaning: &str) {
    let mut logs = Logs::default();
    logs.add(&request_line(5_000, "front-1", "r-1", outcome, 502));
    let cause = &logs.explain("r-1").causes[0];
    assert!(cause.contains("status 502"), "{cause}");
    assert!(cause.contains(meaning), "{cause}");
}

/// The explanation of a rejection names the tenant, its limit and the configuration, and
/// includes nearby events.
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
fn a_tenant_rejection_is_traced_to_its_cause(
    #[case] outcome: &str,
    #[case] status: u16,
    #[case] meaning: &str,
    #[case] nearby_event: &str,
) {
    let line = request_line(5_000, "front-1", "r-1", outcome, status);
    let fields = r#""tenant":"ann","limit":"22+22","routes_version":9,"directory_age":700,"#;
    let line = line.replacen('{', &format!("{{{fields}"), 1);
    let event =
        format!(r#"{{"time":4800,"node":"front-1","name":"{nearby_event}","detail":"x=1"}}"#);
    let mut logs = Logs::default();
    logs.add(&format!("{line}\n{event}\n"));
    let explanation = logs.explain("r-1");
    let cause = &explanation.causes[0];
    assert!(cause.contains(&format!("status {status}")), "{cause}");
    assert!(cause.contains(meaning), "{cause}");
    assert!(cause.contains("tenant [ann] limit [22+22]"), "{cause}");
    assert!(cause.contains("routes version 9 of 700 ms ago"), "{cause}");
    assert!(
        explanation
            .timeline
            .iter()
            .any(|line| line.contains(nearby_event))
    );
}
