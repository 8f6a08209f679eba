//! Typed identifiers. Each is a distinct type so that one can never be passed
//! where another is expected.

use std::fmt;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::bounded::Text;

/// Milliseconds on the clock of the node that took the reading. Readings of
/// two nodes are never compared to decide anything that safety depends on.
pub type Time = u64;

/// Separates a sub-agent's own name from its parent's in a program identifier.
pub const PROGRAM_PATH_SEPARATOR: char = '/';

macro_rules! encode_as_inner {
    ($name:ident, $inner:ident) => {
        impl SerBin for $name {
            fn ser_bin(&self, output: &mut Vec<u8>) {
                self.0.ser_bin(output);
            }
        }

        impl DeBin for $name {
            fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
                Ok(Self($inner::de_bin(offset, bytes)?))
            }
        }
    };
}

macro_rules! number_identifier {
    ($(#[$doc:meta])* $name:ident, $inner:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        encode_as_inner!($name, $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Text);

        encode_as_inner!($name, Text);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Text::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number_identifier!(
    /// One life of one node. A node that restarts without its disk takes a new
    /// identifier, because it has forgotten the votes it gave under the old one.
    NodeId, u64
);
number_identifier!(
    /// One of the fixed number of groups that programs are hashed onto.
    ShardId, u32
);
number_identifier!(
    /// Leadership epoch of a shard's replica group; only ever grows.
    Term, u64
);
number_identifier!(
    /// Position of a call within its program, from 1.
    CallNumber, u32
);
number_identifier!(
    /// Try of one call, from 1; a later attempt fences every earlier one.
    Attempt, u32
);
number_identifier!(
    /// A request a gateway is waiting on; unique within that gateway's life.
    RequestId, u64
);
number_identifier!(
    /// Version of the configuration; only ever grows.
    ConfigVersion, u64
);
text_identifier!(
    /// A tenant, as named in the configuration.
    TenantId
);
text_identifier!(
    /// A program's full path: `root`, or `root/child` for a sub-agent.
    ProgramId
);
text_identifier!(
    /// A back end, as named in the configuration.
    EngineId
);
text_identifier!(
    /// The caller's key for a call that must not run twice.
    IdempotencyKey
);

/// Bits of a request number that count within one life.
const REQUEST_COUNT_BITS: u32 = 48;

impl RequestId {
    /// The `count`th request of one life of a node. A node that restarts with
    /// its disk keeps its identifier but none of its callers' connections, so
    /// requests name the life they belong to.
    pub fn from_incarnation(life: u16, count: u64) -> Self {
        let count = count & ((1 << REQUEST_COUNT_BITS) - 1);
        Self(u64::from(life) << REQUEST_COUNT_BITS | count)
    }

    /// The life of the node that made the request.
    pub fn incarnation(self) -> u16 {
        (self.0 >> REQUEST_COUNT_BITS) as u16
    }
}

impl ProgramId {
    /// The root of the tree this program belongs to. A whole tree lives in the
    /// root's shard, so that its ledgers are checked together.
    pub fn root(&self) -> &str {
        self.0
            .split(PROGRAM_PATH_SEPARATOR)
            .next()
            .unwrap_or(self.0.as_str())
    }

    /// The program that started this one, if it is a sub-agent.
    pub fn parent(&self) -> Option<ProgramId> {
        let (parent, _) = self.0.rsplit_once(PROGRAM_PATH_SEPARATOR)?;
        Some(ProgramId::from(parent))
    }

    /// Number of ancestors: 0 for a root.
    pub fn depth(&self) -> u32 {
        self.0.matches(PROGRAM_PATH_SEPARATOR).count() as u32
    }
}

/// A program within its tenant. Two tenants may use the same identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProgramKey {
    /// Owner.
    pub tenant: TenantId,
    /// Identifier, unique within the owner.
    pub program: ProgramId,
}

impl ProgramKey {
    /// The key of the program that started this one, if it is a sub-agent.
    pub fn parent(&self) -> Option<ProgramKey> {
        Some(ProgramKey {
            tenant: self.tenant.clone(),
            program: self.program.parent()?,
        })
    }

    /// The shard this program's tree belongs to, of `shard_count` in all.
    pub fn shard(&self, shard_count: u32) -> ShardId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.tenant.0.as_bytes());
        hasher.update(&[0]);
        hasher.update(self.program.root().as_bytes());
        let digest = hasher.finalize();
        let mut prefix = [0_u8; 8];
        prefix.copy_from_slice(&digest.as_bytes()[..8]);
        ShardId((u64::from_le_bytes(prefix) % u64::from(shard_count.max(1))) as u32)
    }
}
