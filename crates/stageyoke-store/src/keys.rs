//! Short keys for identifiers in memory and on the wire. Identifiers are chosen
//! by callers: whoever reads a record by such a key compares the identifier in
//! it as well.

/// Key of a turn, by its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TurnKey(pub u64);

/// Key of a program, by its identifier. Nothing holds the identifier to compare
/// it with, hence the length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProgramKey(pub u128);

impl TurnKey {
    /// The key of this turn.
    pub fn of(turn: &str) -> Self {
        let digest = blake3::hash(turn.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

impl ProgramKey {
    /// The key of this program.
    pub fn of(program: &str) -> Self {
        let digest = blake3::hash(program.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }
}
