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
    assert_eq!(told.story.len(), 3, "{:#?}", told.story);
    assert!(
        told.story[0].contains("GroupFailing"),
        "what happened around it is shown"
    );
    assert_eq!((told.unreadable, told.left_out), (2, 7));
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
    assert_eq!(told.story.len(), 2, "{:#?}", told.story);
    assert!(told.story[0].contains("store-1 ListWaits detail=waits_for=successor"));
}
