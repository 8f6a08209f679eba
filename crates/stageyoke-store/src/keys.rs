//! Short keys that stand for identifiers in memory and on the wire. Callers choose the
//! identifiers, so whoever reads a record by its key must also compare the identifier.

/// Key of a turn: a hash of its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TurnKey(pub u64);

/// Key of a program: a hash of its identifier. No identifier is stored to compare it with,
/// so the key is long enough to rule out collisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProgramKey(pub u128);

/// Key of a resumable stream: a hash of its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey(pub u128);

/// Key of a store: a hash of its machine name, which orders the stores of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreKey(u128);

impl StoreKey {
    /// Returns the key of the store on this machine.
    pub fn of(node: &str) -> Self {
        Self(long_hash(node))
    }
}

impl TurnKey {
    /// Returns the key of a turn.
    pub fn of(turn: &str) -> Self {
        let digest = blake3::hash(turn.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

impl ProgramKey {
    /// Returns the key of a program.
    pub fn of(program: &str) -> Self {
        Self(long_hash(program))
    }
}

impl StreamKey {
    /// Returns the key of the stream that a request with this identifier began.
    pub fn of(request: &str) -> Self {
        Self(long_hash(request))
    }
}

fn long_hash(identifier: &str) -> u128 {
    let digest = blake3::hash(identifier.as_bytes());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.as_bytes()[..16]);
    u128::from_le_bytes(bytes)
}
