//! Validation, splitting and comparison of configuration files.

use rstest::rstest;
use stageyoke_config::check;
use stageyoke_config::difference::{Change, compare_configurations};
use stageyoke_config::schema::CONFIGURATION;
use stageyoke_config::sections::{bundle, join, split};
use stageyoke_types::ConfigVersion;

const FLOOD_WARNING: &str = include_str!("../../../examples/flood-warning.toml");
const SABARMATI: &str = include_str!("../../../examples/sabarmati.toml");
const CONFIGURATION_PAGE: &str = include_str!("../../../docs/CONFIG.md");

/// A file with errors in most of its sections, each on its own line.
const INVALID_CONFIGURATION: &str = r#"schema = 2
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
fn all_errors_are_reported_together_with_their_lines() {
    let problems = check("invalid.toml", INVALID_CONFIGURATION).expect_err("the file is invalid");
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
fn an_unknown_key_suggests_the_nearest_known_key() {
    let problems = check("x", INVALID_CONFIGURATION).expect_err("the file is invalid");
    let text = problems.to_string();
    assert!(text.contains("did you mean `placement`?"), "{text}");
}

#[test]
fn the_configuration_page_contains_the_schema_tables() {
    assert!(CONFIGURATION_PAGE.contains(&CONFIGURATION.markdown()));
}

#[test]
fn joined_sections_equal_the_original_text() {
    let version = ConfigVersion(3);
    for text in [FLOOD_WARNING, SABARMATI, INVALID_CONFIGURATION, ""] {
        assert_eq!(join(&bundle(text, version, "id")), text);
    }
}

#[test]
fn an_edit_changes_at_most_two_sections() {
    let before = split(FLOOD_WARNING);
    let after = split(&FLOOD_WARNING.replace("10.20.1.3:8000", "10.20.1.99:8000"));
    let changed = after
        .iter()
        .filter(|section| !before.contains(section))
        .count();
    assert!(
        changed <= 2,
        "{changed} of {} sections changed",
        after.len()
    );
}

#[test]
fn a_changed_route_is_listed_with_its_risk() {
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

/// Errors: two tenants with the same key, a key listed twice, a tenant without keys.
#[test]
fn shared_and_missing_tenant_keys_are_errors() {
    let hash = |digit: &str| format!("\"b3:{}\"", digit.repeat(64));
    let tenant =
        |name: &str, keys: &str| format!("[[tenant]]\nname = \"{name}\"\nkey_hashes = [{keys}]\n");
    let valid_tenants = tenant("x-ann", &hash("a")) + &tenant("x-bob", &hash("b"));
    let text = format!("{FLOOD_WARNING}\n{valid_tenants}");
    assert!(check("valid", &text).is_ok());
    let repeated_key = format!("{}, {}", hash("c"), hash("c"));
    let invalid_tenants =
        tenant("x-cat", &hash("a")) + &tenant("x-dan", &repeated_key) + &tenant("x-eve", "");
    let problems = check("invalid", &format!("{text}{invalid_tenants}")).expect_err("three errors");
    let valid_lines = text.lines().count();
    let lines: Vec<usize> = problems
        .list()
        .iter()
        .map(|problem| problems.line_number(problem))
        .collect();
    assert_eq!(
        lines,
        [valid_lines + 3, valid_lines + 6, valid_lines + 8],
        "{problems}"
    );
}
