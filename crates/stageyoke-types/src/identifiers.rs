//! Identifier types. Each kind of identifier is a distinct type, so the compiler rejects
//! one used in place of another.

use std::fmt;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::bounded::Text;

/// Clock reading of one node, in milliseconds. Safety never depends on a comparison of
/// readings from different nodes.
pub type Time = u64;

/// Separates the names of a parent program and its sub-agent in a program identifier.
pub const PROGRAM_PATH_SEPARATOR: char = '/';

macro_rules! impl_inner_encoding {
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

        impl_inner_encoding!($name, $inner);

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

        impl_inner_encoding!($name, Text);

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
    /// Identifier of a node. A node that loses its disk takes a new identifier, because
    /// it no longer knows the votes that it cast under the old one.
    NodeId, u64
);
number_identifier!(
    /// Identifier of a shard. Programs are hashed onto a fixed number of shards.
    ShardId, u32
);
number_identifier!(
    /// Leadership term of a shard's replica group; increases monotonically.
    Term, u64
);
number_identifier!(
    /// Position of a call in its program, starting at 1.
    CallNumber, u32
);
number_identifier!(
    /// Number of an attempt of one call, starting at 1. An attempt fences all earlier ones.
    Attempt, u32
);
number_identifier!(
    /// Identifier of a request that a gateway waits for; unique within one incarnation of
    /// the gateway.
    RequestId, u64
);
number_identifier!(
    /// Version of the configuration; increases monotonically.
    ConfigVersion, u64
);
text_identifier!(
    /// Name of a tenant in the configuration.
    TenantId
);
text_identifier!(
    /// Full path of a program: `root`, or `root/child` for a sub-agent.
    ProgramId
);
text_identifier!(
    /// Name of a back end in the configuration.
    EngineId
);
text_identifier!(
    /// Key chosen by the caller for a call that must not run twice.
    IdempotencyKey
);

/// Low bits of a request identifier that count requests within one incarnation.
const REQUEST_COUNTER_BITS: u32 = 48;

impl RequestId {
    /// Creates the identifier of the request numbered `count` in one incarnation of a node.
    /// A restarted node keeps its node identifier but loses its callers' connections, so
    /// request identifiers include the incarnation.
    pub fn from_incarnation(incarnation: u16, count: u64) -> Self {
        let count = count & ((1 << REQUEST_COUNTER_BITS) - 1);
        Self(u64::from(incarnation) << REQUEST_COUNTER_BITS | count)
    }

    /// Returns the incarnation of the node that created the request.
    pub fn incarnation(self) -> u16 {
        (self.0 >> REQUEST_COUNTER_BITS) as u16
    }
}

impl ProgramId {
    /// Returns the root of this program's tree. All programs of a tree belong to the root's
    /// shard, so their ledgers can be checked together.
    pub fn root(&self) -> &str {
        self.0
            .split(PROGRAM_PATH_SEPARATOR)
            .next()
            .unwrap_or(self.0.as_str())
    }

    /// Returns the program that started this one, or `None` for a root program.
    pub fn parent(&self) -> Option<ProgramId> {
        let (parent, _) = self.0.rsplit_once(PROGRAM_PATH_SEPARATOR)?;
        Some(ProgramId::from(parent))
    }

    /// Returns the number of ancestors; 0 for a root program.
    pub fn depth(&self) -> u32 {
        self.0.matches(PROGRAM_PATH_SEPARATOR).count() as u32
    }
}

/// Program identifier qualified by its tenant. Different tenants may use the same program
/// identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProgramKey {
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Program identifier, unique within the tenant.
    pub program: ProgramId,
}

impl ProgramKey {
    /// Returns the key of the program that started this one, or `None` for a root program.
    pub fn parent(&self) -> Option<ProgramKey> {
        Some(ProgramKey {
            tenant: self.tenant.clone(),
            program: self.program.parent()?,
        })
    }

    /// Returns the shard of this program's tree, out of `shard_count` shards.
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
