//! Limits of what a front receives and keeps of one stream.

use std::rc::Rc;

use bytes::Bytes;
use rstest::rstest;
use stageyoke_front::memory_budget::MemoryBudget;
use stageyoke_front::received_stream::{
    KeptOutput, MAX_EVENT_BYTES, MAX_EVENTS_WITHOUT_TOKENS, MAX_STREAM_BYTES, ReceivedStream,
    StreamExcess, StreamLimits,
};

const EVENT: &[u8] = b"id: 1\ndata: abcdefghij\n\n";
/// Memory of a machine whose requests may use some 1.4 MB, and of one with enough.
const SMALL_MEMORY: u64 = 4_000_000;
const LARGE_MEMORY: u64 = 500_000_000;
/// Size of the pieces in which a stream arrives.
const PIECE_BYTES: usize = 16 * 1024;
/// Number of pieces after which a stream counts as unlimited.
const MAX_PIECES: usize = 100_000;

fn budget(memory_bytes: u64) -> Rc<MemoryBudget> {
    Rc::new(MemoryBudget::for_machine(memory_bytes))
}

/// Returns the memory that is left in a budget.
fn available(budget: &Rc<MemoryBudget>) -> usize {
    let (mut fits, mut too_large) = (0, usize::MAX / 4);
    while too_large - fits > 1 {
        let middle = fits + (too_large - fits) / 2;
        match budget.start_request().try_acquire(middle) {
            true => fits = middle,
            false => too_large = middle,
        }
    }
    fits
}

/// Pushes a piece until the stream is given up; returns why, and the bytes that it let pass.
fn push_until_given_up(stream: &mut ReceivedStream, piece: &[u8]) -> (StreamExcess, usize) {
    for number in 0..MAX_PIECES {
        if let Err(excess) = stream.push(piece) {
            return (excess, number * piece.len());
        }
    }
    panic!("never given up");
}

/// Guards against memory that is used beside the budget, and against one that is never released.
#[rstest]
#[case::output(EVENT, KeptOutput::Data, StreamExcess::NoMemory)]
#[case::events(EVENT, KeptOutput::Events(Bytes::new()), StreamExcess::NoMemory)]
#[case::incomplete_event(b"data: x", KeptOutput::Data, StreamExcess::TooLarge)]
#[case::output_that_is_not_kept(EVENT, KeptOutput::Nothing, StreamExcess::TooLarge)]
fn what_is_kept_of_a_stream_is_acquired(
    #[case] repeated: &[u8],
    #[case] kept_output: KeptOutput,
    #[case] expected: StreamExcess,
) {
    let budget = budget(SMALL_MEMORY);
    let whole = available(&budget);
    let limits = StreamLimits::of_turn(0);
    let mut stream = ReceivedStream::new(limits, kept_output.clone(), budget.start_request());
    let piece = repeated.repeat(PIECE_BYTES / repeated.len());
    let data_bytes = stream_data_bytes(&piece);
    let mut kept = 0;
    let excess = loop {
        match stream.push(&piece) {
            Ok(_) => kept += data_bytes * usize::from(kept_output != KeptOutput::Nothing),
            Err(excess) => break excess,
        }
        let acquired = whole - available(&budget);
        assert!(
            acquired >= kept + stream.remainder().len(),
            "{acquired} for {kept}"
        );
    };
    assert_eq!(excess, expected);
    assert!(whole >= kept, "{kept} bytes in {whole}");
    drop(stream);
    assert_eq!(available(&budget), whole);
}

/// Returns the size of the data of the complete events in a piece, with a line feed each.
fn stream_data_bytes(piece: &[u8]) -> usize {
    let mut data = Vec::new();
    if piece.ends_with(b"\n\n") {
        stageyoke_front::event_stream::collect_data(piece, &mut data);
    }
    data.len()
}

/// Guards against a feed of events that is cut because it has been going on for long.
#[test]
fn a_feed_of_events_is_limited_by_the_size_of_each_event_only() {
    let memory = budget(LARGE_MEMORY).start_request();
    let mut stream =
        ReceivedStream::new(StreamLimits::of_event_feed(), KeptOutput::Nothing, memory);
    let piece = EVENT.repeat(PIECE_BYTES / EVENT.len());
    let pieces = 2 * MAX_STREAM_BYTES / piece.len();
    for _ in 0..pieces {
        assert!(stream.push(&piece).is_ok_and(|events| events.is_some()));
    }
    let event = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(stream.push(&event), Err(StreamExcess::TooLarge));
}

#[rstest]
#[case::events(EVENT, MAX_STREAM_BYTES)]
#[case::comments(b": c\n\n", MAX_EVENT_BYTES)]
#[case::comment_lines(b": c\n", MAX_EVENT_BYTES)]
#[case::blank_lines(b"\n", MAX_EVENT_BYTES)]
#[case::one_event(b"x", MAX_EVENT_BYTES)]
fn bytes_without_end_are_bounded(#[case] repeated: &[u8], #[case] most: usize) {
    let memory = budget(LARGE_MEMORY).start_request();
    let mut stream = ReceivedStream::new(StreamLimits::of_turn(0), KeptOutput::Data, memory);
    let piece = repeated.repeat(PIECE_BYTES / repeated.len());
    let (excess, passed) = push_until_given_up(&mut stream, &piece);
    assert_eq!(excess, StreamExcess::TooLarge);
    assert!(passed <= most && passed + PIECE_BYTES > most, "{passed}");
}

#[rstest]
#[case::few(5)]
#[case::more_than_the_bytes_of_other_streams(2_000_000)]
fn a_turn_has_no_more_events_than_tokens_and_marks(#[case] max_tokens: u32) {
    let memory = budget(LARGE_MEMORY).start_request();
    let mut stream = ReceivedStream::new(
        StreamLimits::of_turn(max_tokens),
        KeptOutput::Nothing,
        memory,
    );
    for _ in 0..max_tokens + MAX_EVENTS_WITHOUT_TOKENS {
        assert!(stream.push(EVENT).is_ok());
    }
    assert_eq!(stream.push(EVENT), Err(StreamExcess::TooLarge));
}

/// Guards against a limit for comments that a stream with events reaches.
#[test]
fn comments_count_only_up_to_the_next_event() {
    let memory = budget(LARGE_MEMORY).start_request();
    let mut stream = ReceivedStream::new(StreamLimits::of_turn(0), KeptOutput::Data, memory);
    let comments = b": c\n\n".repeat(MAX_EVENT_BYTES / 10);
    for _ in 0..20 {
        assert!(stream.push(&comments).is_ok());
        assert!(stream.push(EVENT).is_ok());
    }
    assert_eq!(stream.events(), 20);
}
