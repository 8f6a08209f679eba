//! The table of late programs, read from log lines in the format of the fronts.

use stageyoke_lab::lateness::{DelayCause, Lateness};

struct LoggedRequest {
    program: &'static str,
    started_at: u64,
    ended_at: u64,
    finish: u64,
    status: u16,
    outcome: &'static str,
}

fn line(request: &LoggedRequest) -> String {
    let LoggedRequest {
        program,
        started_at,
        ended_at,
        finish,
        status,
        outcome,
    } = request;
    let milliseconds = ended_at - started_at;
    format!(
        "   1.5 front-1 {{\"name\":\"RequestEnded\",\"time\":{ended_at},\"program\":\"{program}\",\
         \"milliseconds\":{milliseconds},\"finish\":{finish},\"status\":{status},\"outcome\":\"{outcome}\"}}"
    )
}

fn read(requests: &[LoggedRequest]) -> Lateness {
    let log: Vec<String> = requests.iter().map(line).collect();
    Lateness::read(&[log.join("\n")], 2, 2_000)
}

fn turn(program: &'static str, started_at: u64, ended_at: u64, finish: u64) -> LoggedRequest {
    LoggedRequest {
        program,
        started_at,
        ended_at,
        finish,
        status: 200,
        outcome: "streamed",
    }
}

#[test]
fn programs_are_counted_in_the_window_of_their_start() {
    let lateness = read(&[
        turn("one", 10_000, 10_300, 1_000),
        turn("one", 10_400, 10_900, 600),
        turn("two", 12_500, 13_000, 400),
        turn("", 12_500, 19_000, 0),
    ]);
    assert_eq!(lateness.windows[&0].programs, 1);
    assert!(lateness.windows[&0].late.is_empty());
    assert_eq!(lateness.windows[&2].late[&DelayCause::Slow], 1);
    assert_eq!(lateness.windows.len(), 2);
}

#[rstest::rstest]
#[case(200, "streamed", 3_300, DelayCause::Silence)]
#[case(503, "no_replica", 100, DelayCause::Refused)]
#[case(0, "replica_broke_off", 100, DelayCause::Cut)]
#[case(0, "caller_left", 100, DelayCause::Slow)]
#[case(200, "streamed", 100, DelayCause::Slow)]
fn the_first_cause_of_a_delay_is_reported(
    #[case] status: u16,
    #[case] outcome: &'static str,
    #[case] pause: u64,
    #[case] expected: DelayCause,
) {
    let first = LoggedRequest {
        status,
        outcome,
        ..turn("one", 10_000, 10_300, 500)
    };
    let second = turn("one", 10_300 + pause, 10_800 + pause, 0);
    let lateness = read(&[first, second]);
    assert_eq!(lateness.windows[&0].late[&expected], 1);
    assert!(lateness.to_string().contains(&expected.to_string()));
}

#[test]
fn other_lines_and_programs_without_a_due_time_are_ignored() {
    let lateness = Lateness::read(
        &["no object\n{\"name\":\"Other\",\"time\":3}\n{broken".to_owned()],
        2,
        2_000,
    );
    assert_eq!(lateness, Lateness::default());
    assert_eq!(read(&[turn("one", 5, 9, 0)]), Lateness::default());
}
