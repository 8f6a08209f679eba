//! The table of late programs, from lines as fronts write them.

use stageyoke_lab::lateness::{DelayCause, Lateness};

struct Told {
    program: &'static str,
    began: u64,
    ended: u64,
    finish: u64,
    status: u16,
    outcome: &'static str,
}

fn line(told: &Told) -> String {
    let Told {
        program,
        began,
        ended,
        finish,
        status,
        outcome,
    } = told;
    let took = ended - began;
    format!(
        "   1.5 front-1 {{\"name\":\"RequestEnded\",\"time\":{ended},\"program\":\"{program}\",\
         \"milliseconds\":{took},\"finish\":{finish},\"status\":{status},\"outcome\":\"{outcome}\"}}"
    )
}

fn read(told: &[Told]) -> Lateness {
    let log: Vec<String> = told.iter().map(line).collect();
    Lateness::read(&[log.join("\n")], 2, 2_000)
}

fn turn(program: &'static str, began: u64, ended: u64, finish: u64) -> Told {
    Told {
        program,
        began,
        ended,
        finish,
        status: 200,
        outcome: "streamed",
    }
}

#[test]
fn programs_are_counted_where_they_began() {
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

/// Each of these ends late; the first thing that held it up is told.
#[rstest::rstest]
#[case(200, "streamed", 3_300, DelayCause::Silence)]
#[case(503, "no_replica", 100, DelayCause::Refused)]
#[case(0, "replica_broke_off", 100, DelayCause::Cut)]
#[case(0, "caller_left", 100, DelayCause::Slow)]
#[case(200, "streamed", 100, DelayCause::Slow)]
fn what_held_a_program_up(
    #[case] status: u16,
    #[case] outcome: &'static str,
    #[case] pause: u64,
    #[case] expected: DelayCause,
) {
    let first = Told {
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
fn foreign_lines_and_programs_without_a_time_are_left_out() {
    let lateness = Lateness::read(
        &["no object\n{\"name\":\"Other\",\"time\":3}\n{broken".to_owned()],
        2,
        2_000,
    );
    assert_eq!(lateness, Lateness::default());
    assert_eq!(read(&[turn("one", 5, 9, 0)]), Lateness::default());
}
