//! The error table and the event catalogue equal the pages that show them.

use std::collections::HashSet;

use stageyoke_types::{ErrorKind, Event};

const ERRORS_PAGE: &str = include_str!("../../../docs/ERRORS.md");
const EVENTS_PAGE: &str = include_str!("../../../docs/EVENTS.md");

fn table_rows(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .collect()
}

#[test]
fn errors_page_equals_the_table() {
    let expected: Vec<String> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.response();
            format!(
                "| `{}` | {} | {} | {} | {} |",
                answer.name, answer.http_status, answer.exit_code, answer.retry, answer.meaning
            )
        })
        .collect();
    assert_eq!(table_rows(ERRORS_PAGE), expected);
}

#[test]
fn events_page_equals_the_catalogue() {
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            format!(
                "| `{}` | {:?} | {} | {} |",
                event.number(),
                event,
                event.level(),
                event.meaning()
            )
        })
        .collect();
    assert_eq!(table_rows(EVENTS_PAGE), expected);
}

#[test]
fn names_exit_codes_and_event_numbers_are_unique() {
    let names: HashSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    let exits: HashSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.response().exit_code)
        .collect();
    let numbers: HashSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    assert_eq!(exits.len(), ErrorKind::ALL.len());
    assert_eq!(numbers.len(), Event::ALL.len());
}
