//! Checking of configuration files.

use rstest::rstest;
use stageyoke_config::check;
use stageyoke_config::difference::{Change, compare_configurations};
use stageyoke_config::schema::CONFIGURATION;
use stageyoke_config::sections::{bundle, join, split};
use stageyoke_types::ConfigVersion;

const FLOOD_WARNING: &str = include_str!("../../../examples/flood-warning.toml");
const SABARMATI: &str = include_str!("../../../examples/sabarmati.toml");
const CONFIG_PAGE: &str = include_str!("../../../docs/CONFIG.md");

/// Twenty faults, each on a line of its own.
const TWENTY_FAULTS: &str = r#"schema = 2
name = 7
colour = "blue"
[limits]
body_bytes = "many"
header_bytes = 1
[policy]
queue = "fastest"
plcement = "cost_based"
[[class]]
name = "a"
priority = 9
[[tenant]]
name = "t"
key_hashes = ["plain key"]
streams = -1
programs = ["nobody"]
[[model]]
name = "m"
[[engine]]
name = "e"
model = "other"
address = "localhost"
zone = ""
leaving = "no"
[[engine]]
name = "e"
model = "m"
address = "10.0.0.1:80"
zone = "z"
[[program]]
name = "p"
class = "b"
model = "n"
tools = ["saw"]
[[pool]]
name = "pool"
addresses = []
[[route]]
prefix = "feeds"
pool = "lake"
"#;

#[rstest]
#[case("flood-warning.toml", FLOOD_WARNING)]
#[case("sabarmati.toml", SABARMATI)]
fn examples_have_no_problems(#[case] name: &str, #[case] text: &str) {
    let checked = check(name, text).expect("the example is valid");
    assert!(checked.warnings.list().is_empty(), "{}", checked.warnings);
}

#[test]
fn every_fault_is_reported_at_once_with_its_line() {
    let problems = check("twenty.toml", TWENTY_FAULTS).expect_err("it has faults");
    let lines: Vec<usize> = problems
        .list()
        .iter()
        .map(|problem| problems.line_number(problem))
        .collect();
    let expected = [
        1, 2, 3, 5, 6, 8, 9, 12, 15, 16, 17, 22, 23, 24, 25, 27, 33, 34, 35, 37, 40, 41,
    ];
    for line in expected {
        assert!(
            lines.contains(&line),
            "line {line} is not in {lines:?}\n{problems}"
        );
    }
    assert!(
        problems
            .list()
            .iter()
            .all(|problem| !problem.remedy.is_empty())
    );
}

#[test]
fn an_unknown_key_names_the_nearest() {
    let problems = check("x", TWENTY_FAULTS).expect_err("it has faults");
    let text = problems.to_string();
    assert!(text.contains("did you mean `placement`?"), "{text}");
}

#[test]
fn page_equals_the_schema() {
    assert!(CONFIG_PAGE.contains(&CONFIGURATION.markdown()));
}

#[test]
fn parts_join_to_the_very_text() {
    let version = ConfigVersion(3);
    for text in [FLOOD_WARNING, SABARMATI, TWENTY_FAULTS, ""] {
        assert_eq!(join(&bundle(text, version, "id")), text);
    }
}

#[test]
fn an_edit_changes_few_parts() {
    let before = split(FLOOD_WARNING);
    let after = split(&FLOOD_WARNING.replace("10.20.1.3:8000", "10.20.1.99:8000"));
    let changed = after.iter().filter(|part| !before.contains(part)).count();
    assert!(changed <= 2, "{changed} of {} parts changed", after.len());
}

#[test]
fn difference_names_what_changed() {
    let before = check("a", FLOOD_WARNING).expect("valid").config;
    let text = FLOOD_WARNING
        .replace("signed_off = false", "signed_off = true")
        .replace("legacy_percent = 20", "legacy_percent = 0");
    let after = check("b", &text).expect("valid").config;
    let changes = compare_configurations(Some(&before), &after);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(
        (changes[0].section, changes[0].change),
        ("route", Change::Changed)
    );
    assert!(changes[0].risk.is_some());
}

/// One key for two tenants, twice in one, and a tenant without any: each is told with
/// its line.
#[test]
fn keys_tell_one_tenant_each() {
    let hash = |digit: &str| format!("\"b3:{}\"", digit.repeat(64));
    let tenant =
        |name: &str, keys: &str| format!("[[tenant]]\nname = \"{name}\"\nkey_hashes = [{keys}]\n");
    let sound = tenant("x-ann", &hash("a")) + &tenant("x-bob", &hash("b"));
    let text = format!("{FLOOD_WARNING}\n{sound}");
    assert!(check("sound", &text).is_ok());
    let twice = format!("{}, {}", hash("c"), hash("c"));
    let faults = tenant("x-cat", &hash("a")) + &tenant("x-dan", &twice) + &tenant("x-eve", "");
    let problems = check("faulty", &format!("{text}{faults}")).expect_err("three faults");
    let first = text.lines().count();
    let lines: Vec<usize> = problems
        .list()
        .iter()
        .map(|problem| problems.line_number(problem))
        .collect();
    assert_eq!(lines, [first + 3, first + 6, first + 8], "{problems}");
}
