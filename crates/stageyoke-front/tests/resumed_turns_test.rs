//! A turn is kept with all events that its caller got, also those of earlier attempts.

#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use rstest::rstest;
use streams::{
    BREAK_AFTER, BREAK_INSIDE, Front, LONG_TURNS, RESUMABLE_TURNS, Replica, STREAM, System,
    TURN_EVENTS, header_value, input_of,
};
use tokio::task::LocalSet;

const PROGRAM: &str = "program";

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// Starts three stores, of which one may be lost, and replicas.
async fn start_system() -> System {
    let mut replicas = Vec::new();
    for _ in 0..2 {
        replicas.push(("v1", Replica::start(STREAM, STREAM).await));
    }
    let system = System::start(3, 1, replicas).await;
    system.form_group();
    system
}

/// A caller that resumes the stream of one turn until it has all of it.
struct Caller {
    names_beginning: bool,
    began_as: Option<String>,
    attempts: usize,
    /// Data of the events that the caller has.
    events: Vec<String>,
}

impl Caller {
    fn new(names_beginning: bool) -> Self {
        Self {
            names_beginning,
            began_as: None,
            attempts: 0,
            events: Vec::new(),
        }
    }

    /// Makes one attempt, and forgets all events after `keeps`. Returns the attempt's identifier
    /// and the answer.
    async fn attempt(&mut self, front: &Front, headers: &str, keeps: usize) -> (String, String) {
        let id = format!("attempt-{}", self.attempts);
        self.attempts += 1;
        let mut headers = headers.to_owned();
        if !self.events.is_empty() {
            headers.push_str(&format!("last-event-id: {}\r\n", self.events.len()));
            if let (true, Some(began_as)) = (self.names_beginning, &self.began_as) {
                headers.push_str(&format!("resumes: {began_as}\r\n"));
            }
        }
        let input = input_of("turn");
        let sending = front.send_turn_with(RESUMABLE_TURNS, &id, PROGRAM, "", &input, &headers);
        let answer = sending.await;
        let data = answer
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let whole = data.filter(|data| data.contains(" says "));
        self.events.extend(whole.map(str::to_owned));
        self.events.truncate(keeps);
        if !self.events.is_empty() {
            self.began_as.get_or_insert_with(|| id.clone());
        }
        (id, answer)
    }

    /// Checks that the turn can be continued with all that the caller has.
    async fn check_continuation(&self, system: &System, front: &Front, previous: &str) {
        assert_eq!(self.events.len(), TURN_EVENTS, "{:?}", self.events);
        let answer = front.send_turn(LONG_TURNS, "next", PROGRAM, previous).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let output: String = self.events.iter().map(|data| format!("{data}\n")).collect();
        let body = [input_of("turn"), output, input_of("next")].concat();
        assert_eq!(system.body_of("next"), Some(body));
    }
}

fn is_whole(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n")
}

/// Guards against a turn that is kept without the events before a break. `breaks` are the last
/// events before each, `kept` what the caller has of them.
#[rstest]
#[case::after_the_first_event(&[1], &[1], "")]
#[case::before_the_last_event(&[4], &[4], "")]
#[case::twice(&[2, 3], &[2, 3], "")]
#[case::three_times(&[1, 2, 4], &[1, 2, 4], "")]
#[case::inside_an_event(&[2, 3], &[2, 3], BREAK_INSIDE)]
#[case::the_caller_has_less_than_was_sent(&[3, 4], &[2, 3], "")]
#[tokio::test]
async fn a_resumed_turn_is_kept_with_all_events_of_its_caller(
    #[case] breaks: &[usize],
    #[case] kept: &[usize],
    #[case] inside: &str,
    #[values(true, false)] names_beginning: bool,
    #[values(true, false)] loses_first_front: bool,
) {
    run_local(async {
        let system = start_system().await;
        let mut caller = Caller::new(names_beginning);
        let mut front = system.start_front().await;
        for (last, keeps) in breaks.iter().zip(kept) {
            let mut headers = format!("{BREAK_AFTER}: {last}\r\n");
            if !inside.is_empty() {
                headers.push_str(&format!("{inside}: 1\r\n"));
            }
            let (_, answer) = caller.attempt(&front, &headers, *keeps).await;
            assert!(!is_whole(&answer), "{answer}");
            assert_eq!(caller.events.len(), *keeps, "{answer}");
            let next = system.start_front().await;
            if loses_first_front {
                front.stop();
            }
            front = next;
        }
        let (id, answer) = caller.attempt(&front, "", TURN_EVENTS).await;
        assert!(is_whole(&answer), "{answer}");
        let other_front = system.start_front().await;
        caller.check_continuation(&system, &other_front, &id).await;
    })
    .await;
}

/// Where nobody knows the first part, the turn could not be kept whole, so it must not run.
#[tokio::test]
async fn a_turn_whose_first_part_is_unknown_is_rejected_without_being_sent() {
    run_local(async {
        let system = start_system().await;
        let front = system.start_front().await;
        let mut caller = Caller::new(false);
        caller.events = vec!["never sent".to_owned()];
        let (id, answer) = caller.attempt(&front, "", 1).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(
            header_value(&answer, "retry-after").as_deref(),
            Some("0.250")
        );
        assert!(system.versions_of(&id).is_empty());
        let (id, answer) = Caller::new(false).attempt(&front, "", TURN_EVENTS).await;
        assert!(is_whole(&answer), "{answer} of {id}");
    })
    .await;
}

/// Two attempts from the start may get different events under the same identifiers.
#[tokio::test]
async fn a_turn_is_rejected_if_two_of_its_streams_may_be_meant() {
    run_local(async {
        let system = start_system().await;
        let front = system.start_front().await;
        let headers = format!("{BREAK_AFTER}: 2\r\n");
        let mut first = Caller::new(true);
        first.attempt(&front, &headers, 2).await;
        let mut anew = Caller::new(true);
        anew.attempts = 10;
        anew.attempt(&front, &headers, 2).await;
        let mut unnamed = Caller::new(false);
        unnamed.attempts = 20;
        unnamed.events = anew.events.clone();
        let (_, answer) = unnamed.attempt(&front, "", TURN_EVENTS).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        let (id, answer) = anew.attempt(&front, "", TURN_EVENTS).await;
        assert!(is_whole(&answer), "{answer}");
        anew.check_continuation(&system, &front, &id).await;
    })
    .await;
}
