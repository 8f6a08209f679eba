//! Limits of callers' connections under any order of events.

use std::rc::Rc;

use proptest::prelude::*;
use stageyoke_front::caller_connections::{
    CallerConnections, ConnectionHandle, ConnectionLimits, Phase,
};

/// Memory of a connection with a large head, of which the limit holds a few.
const LARGE_CONNECTION_BYTES: usize = 38 * 1024;
const MAX_CONNECTIONS: usize = 12;

/// What happens to one of the connections.
#[derive(Clone, Copy, Debug)]
enum Step {
    Admit,
    Close,
    StartReading,
    Read(usize),
    StartRequest(bool),
    FinishBody,
    StartResponse,
    Write(bool),
    FinishResponse,
    StartClosing,
}

fn steps() -> impl Strategy<Value = Vec<(Step, usize)>> {
    let step = prop_oneof![
        4 => Just(Step::Admit),
        1 => Just(Step::Close),
        2 => Just(Step::StartReading),
        3 => (1..20_000usize).prop_map(Step::Read),
        3 => any::<bool>().prop_map(Step::StartRequest),
        2 => Just(Step::FinishBody),
        2 => Just(Step::StartResponse),
        2 => any::<bool>().prop_map(Step::Write),
        2 => Just(Step::FinishResponse),
        1 => Just(Step::StartClosing),
    ];
    proptest::collection::vec((step, any::<usize>()), 1..200)
}

fn apply(step: Step, handle: &ConnectionHandle) {
    match step {
        Step::Admit | Step::Close => {}
        Step::StartReading => handle.start_reading(),
        Step::Read(bytes) => handle.record_read(bytes),
        Step::StartRequest(has_body) => handle.start_request(has_body),
        Step::FinishBody => handle.finish_body(),
        Step::StartResponse => handle.start_response(),
        Step::Write(is_blocked) => handle.record_write(is_blocked),
        Step::FinishResponse => handle.finish_response(),
        Step::StartClosing => handle.start_closing(),
    }
}

/// Returns whether a connection of this phase keeps its place for now. Callers that don't read have
/// a second for it.
fn keeps_its_place(handle: &ConnectionHandle) -> bool {
    matches!(handle.phase(), Phase::Busy | Phase::Unread)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(91), ..ProptestConfig::default() })]

    /// Whatever happens in whichever order, the limits hold, running requests keep their
    /// connections, callers are turned away only if all others run requests, and nothing stays
    /// counted.
    #[test]
    fn connections_stay_within_their_limits(steps in steps()) {
        let limits = ConnectionLimits {
            connections: MAX_CONNECTIONS,
            memory_bytes: 4 * LARGE_CONNECTION_BYTES,
        };
        let connections = Rc::new(CallerConnections::new(limits));
        let mut handles: Vec<ConnectionHandle> = Vec::new();
        for (step, choice) in steps {
            let running: Vec<bool> = handles
                .iter()
                .map(|handle| keeps_its_place(handle) && !handle.is_evicted())
                .collect();
            match step {
                Step::Admit => match connections.admit() {
                    Some(handle) => handles.push(handle),
                    None => prop_assert!(running.iter().all(|is_running| *is_running)),
                },
                Step::Close if !handles.is_empty() => {
                    handles.remove(choice % handles.len());
                    continue;
                }
                _ if handles.is_empty() => {}
                _ => apply(step, &handles[choice % handles.len()]),
            }
            for handle in &handles {
                prop_assert!(!handle.is_evicted() || !keeps_its_place(handle));
            }
            handles.retain(|handle| !handle.is_evicted());
            prop_assert_eq!(connections.open(), handles.len());
            prop_assert!(connections.open() <= MAX_CONNECTIONS);
            let all_keep_their_places = handles.iter().all(keeps_its_place);
            prop_assert!(connections.bytes() <= limits.memory_bytes || all_keep_their_places);
        }
        handles.clear();
        prop_assert_eq!((connections.open(), connections.bytes()), (0, 0));
    }
}

/// Guards against limits that ordinary clients meet on the smallest machines.
#[test]
fn the_smallest_machine_has_room_for_hundreds_of_connections() {
    let limits = ConnectionLimits::for_machine(48_000_000, 3075);
    assert!(limits.connections >= 1000, "{limits:?}");
    assert!(limits.memory_bytes / (14 * 1024) >= 500, "{limits:?}");
}
