//! Which days of a journal are findings, and the command that replays each.

use std::path::Path;

use stageyoke_lab::hunts::{HuntReport, Reason};

/// Formats a day of a journal entry; `result` replaces the result of a clean day.
fn day(name: &str, seed: &str, kind: &str, result: &str) -> String {
    let clean = r#""rules":{},"short":[],"fault":null,"gate":true,"served":0.97"#;
    let result = if result.is_empty() { clean } else { result };
    format!(r#"{{"name":"{name}","seed":{seed},"kind":"{kind}",{result}}}"#)
}

fn entry(id: &str, verb: &str, arguments: &[&str], days: &[String]) -> String {
    let days = days.join(",");
    format!(
        r#"{{"v":1,"id":"{id}","cmd":"{verb}","argv":{arguments:?},"why":"a try","ok":true,"days":[{days}]}}"#
    )
}

fn write_entry(journal: &Path, index: usize, text: &str) {
    let file = journal.join(format!("2026010{index}T000000-{index}.json"));
    std::fs::write(file, text).expect("the entry is written");
}

/// Evaluates a journal with these entries, in this order.
fn evaluate(entries: &[String], since: Option<&str>) -> miette::Result<HuntReport> {
    let journal = tempfile::tempdir().expect("a directory");
    std::fs::create_dir(journal.path().join("blobs")).expect("a directory beside the entries");
    for (index, text) in entries.iter().enumerate() {
        write_entry(journal.path(), index, text);
    }
    HuntReport::read(journal.path(), since)
}

fn one_day(verb: &str, arguments: &[&str], day: String) -> HuntReport {
    evaluate(&[entry("aa", verb, arguments, &[day])], None).expect("the entry is read")
}

const BROKEN: &str =
    r#""rules":{"LOST":17,"RECOVER":1},"short":[],"fault":null,"gate":false,"served":0.93"#;
const SHORT: &str =
    r#""rules":{},"short":["71% were refused"],"fault":null,"gate":false,"served":0.5"#;
const FAULT: &str = r#""rules":{},"short":[],"fault":"crash loop","gate":false,"served":0.9"#;
const REFUSED: &str = r#""rules":{},"short":[],"fault":null,"gate":true,"served":0.4999"#;
const NOTHING: &str = r#""rules":{},"short":[],"fault":null,"gate":true,"served":-0.01"#;
const FAILED: &str = r#""rules":{},"short":[],"fault":null,"gate":false,"served":0.9"#;

#[rstest::rstest]
#[case(BROKEN, vec![Reason::Broken("LOST".into(), 17), Reason::Broken("RECOVER".into(), 1)])]
#[case(SHORT, vec![Reason::Short("71% were refused".into())])]
#[case(FAULT, vec![Reason::Fault("crash loop".into())])]
#[case(REFUSED, vec![Reason::Served(49)])]
#[case(NOTHING, vec![Reason::Served(0)])]
#[case(FAILED, vec![Reason::Gate])]
fn each_reason_makes_a_day_a_finding(
    #[case] result: &str,
    #[case] reasons: Vec<Reason>,
    #[values("hunt", "run", "score")] verb: &str,
) {
    let report = one_day(verb, &["s.toml"], day("mix", "7", "trouble", result));
    assert_eq!(report.findings.len(), 1);
    assert_eq!(report.findings[0].reasons, reasons);
    assert!(!report.is_clean());
}

#[test]
fn a_clean_day_is_counted_but_not_a_finding() {
    let report = one_day("hunt", &["s.toml"], day("mix", "7", "trouble", ""));
    assert_eq!((report.entries, report.days), (1, 1));
    assert!(report.is_clean());
}

#[test]
fn entries_of_other_commands_are_ignored() {
    for verb in ["incident", "replay", "sweep"] {
        let report = one_day(verb, &["s.toml"], day("mix", "7", "trouble", BROKEN));
        assert_eq!(report, HuntReport::default());
    }
}

/// The command must select the same day, seed and options.
#[rstest::rstest]
#[case("hunt", &["s.toml", "--days", "40"], day("hunt-1-3", "null", "replay", SHORT),
    "fleetbench replay s.toml hunt-1-3")]
#[case("hunt", &["s.toml", "--no-cpu"], day("mix --seed 77", "77", "trouble", SHORT),
    "fleetbench run s.toml mix --seed 77 --no-cpu")]
#[case("score", &["s.toml", "--small", "--why", "x"], day("scale-1", "5", "scale", SHORT),
    "fleetbench run s.toml scale-1 --small")]
#[case("score", &["s.toml"], day("fresh-1", "null", "replay", SHORT),
    "fleetbench replay s.toml fresh-1")]
#[case("run", &["s.toml", "days/a.toml", "--seed", "3", "--until", "9"], day("a", "3", "quiet", SHORT),
    "fleetbench run s.toml days/a.toml --seed 3 --until 9")]
fn the_replay_command_selects_the_same_day(
    #[case] verb: &str,
    #[case] arguments: &[&str],
    #[case] day: String,
    #[case] command: &str,
) {
    let report = one_day(verb, arguments, day);
    assert_eq!(report.findings[0].command, command);
    let text = report.to_string();
    assert!(text.contains(command) && text.contains("(a try)"), "{text}");
}

#[test]
fn an_unfinished_entry_is_reported() {
    let text = r#"{"id":"bb","cmd":"hunt","argv":["s.toml"],"ok":false,"days":null}"#;
    let report = evaluate(&[text.to_owned()], None).expect("the entry is read");
    assert_eq!(report.unfinished, ["bb"]);
    assert!(report.to_string().contains("bb: did not end"));
    assert!(!report.is_clean());
}

#[test]
fn since_skips_entries_up_to_the_named_one() {
    let entries = ["aa", "bb", "cc"].map(|id| {
        let day = day("mix", "7", "trouble", SHORT);
        entry(id, "hunt", &["s.toml"], &[day])
    });
    let report = evaluate(&entries, Some("bb")).expect("the entries are read");
    assert_eq!(report.findings.len(), 1);
    assert_eq!(report.findings[0].entry, "cc");
    assert!(evaluate(&entries, Some("dd")).is_err());
}

#[test]
fn an_invalid_or_missing_journal_is_an_error() {
    assert!(evaluate(&["no entry".to_owned()], None).is_err());
    assert!(HuntReport::read(Path::new("/nowhere"), None).is_err());
}
