//! Records shared by the store tests.

use stageyoke_store::message::{Record, TurnRecord};
use stageyoke_types::{Blob, Text};

/// Returns a turn record that is retained for 60 s.
pub fn turn(name: &str, previous: &str) -> Record {
    Record::Turn(TurnRecord {
        turn: Text::from(name),
        program: Text::from("program"),
        previous: Text::from(previous),
        input: Blob::from(b"ask\n".to_vec()),
        output: Blob::from(b"say\n".to_vec()),
        used_tokens: 10,
        retention_seconds: 60,
    })
}
