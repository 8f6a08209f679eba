//! The settings file.

use stageyoke_node::settings::{Overrides, SETTINGS, parse};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

fn settings_text(key_file: &str) -> String {
    format!(
        "name = \"node-1\"\nzone = \"a\"\npeer_address = \"127.0.0.1:7100\"\n\
         caller_address = \"127.0.0.1:7101\"\noperator_address = \"127.0.0.1:7102\"\n\
         cluster_key_file = \"{key_file}\"\n"
    )
}

#[test]
fn page_equals_the_schema() {
    assert!(PAGE.contains(&SETTINGS.markdown()));
}

#[test]
fn a_good_file_is_read_and_flags_go_first() {
    let folder = tempfile::tempdir().expect("a folder");
    let key = folder.path().join("key");
    std::fs::write(&key, [7; 32]).expect("a key file");
    let overrides = Overrides {
        name: Some("other".to_owned()),
        ..Overrides::default()
    };
    let text = settings_text(&key.display().to_string());
    let settings = parse("settings.toml", &text, &overrides).expect("valid");
    assert_eq!(settings.name, "other");
    assert_eq!(settings.zone, "a");
    assert_eq!(settings.shards, 256);
}

#[test]
fn every_problem_is_named_with_its_line() {
    let text = settings_text("/nowhere/key").replace("7101\"", "port\"") + "shards = 0\nzon = 1\n";
    let problems = parse("settings.toml", &text, &Overrides::default()).expect_err("invalid");
    let lines: Vec<usize> = problems
        .list()
        .iter()
        .map(|problem| problems.line_number(problem))
        .collect();
    assert_eq!(lines, [4, 6, 7, 8], "{problems}");
}
