//! Records whether a disk still holds everything that its store has acknowledged as a member
//! of a group.

use stageyoke_directory::{GroupNumber, StoreGroups};

/// Group for which a disk is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Completeness {
    /// The disk may lack records: it was replaced or has not caught up yet.
    #[default]
    Incomplete,
    /// The disk dates from before the groups were formed, when nothing had been stored: it is
    /// complete for the group into which the store was formed, if any.
    SinceFormation,
    /// The disk is complete for this group.
    Of(GroupNumber),
}

const SINCE_FORMATION_MARK: &str = "since formation";
const OF_GROUP_MARK_PREFIX: &str = "of group ";

impl Completeness {
    /// Checks whether the disk of the store on this machine is complete for a group.
    pub fn is_complete_for(self, group: GroupNumber, node: &str, stores: &StoreGroups) -> bool {
        match self {
            Self::Incomplete => false,
            Self::Of(complete) => complete == group,
            Self::SinceFormation => {
                !stores.is_formed() || stores.group_of_node(node) == Some(group)
            }
        }
    }

    /// Text of the disk's completeness marker; `None` if the disk has none.
    pub fn mark(self) -> Option<String> {
        match self {
            Self::Incomplete => None,
            Self::SinceFormation => Some(SINCE_FORMATION_MARK.to_owned()),
            Self::Of(GroupNumber(number)) => Some(format!("{OF_GROUP_MARK_PREFIX}{number}")),
        }
    }

    /// Parses a completeness marker. An unreadable marker counts as incomplete.
    pub fn from_mark(mark: &str) -> Self {
        if mark == SINCE_FORMATION_MARK {
            return Self::SinceFormation;
        }
        let number = mark
            .strip_prefix(OF_GROUP_MARK_PREFIX)
            .and_then(|number| number.parse().ok());
        number.map_or(Self::Incomplete, |number| Self::Of(GroupNumber(number)))
    }
}
