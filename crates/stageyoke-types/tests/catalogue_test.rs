//! The documentation pages of errors and events match the tables in the code.

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
fn the_errors_page_matches_the_error_kinds() {
    let expected: Vec<String> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let response = kind.response();
            format!(
                "| `{}` | {} | {} | {} | {} |",
                response.name,
                response.http_status,
                response.exit_code,
                response.retry,
                response.meaning
            )
        })
        .collect();
    assert_eq!(table_rows(ERRORS_PAGE), expected);
}

#[test]
fn the_events_page_matches_the_events() {
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
    let exit_codes: HashSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.response().exit_code)
        .collect();
    let numbers: HashSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    assert_eq!(exit_codes.len(), ErrorKind::ALL.len());
    assert_eq!(numbers.len(), Event::ALL.len());
}
