//! Spreads the configuration in force from node to node.
//!
//! A few nodes watch the key-value service; all others learn a new version
//! from a peer's notice or probe, and fetch the parts they lack. Parts are
//! named by their digest, so an unchanged part never travels again. A node
//! takes versions only upwards, and a version only when all its parts are
//! there and match their names.

use std::collections::{BTreeMap, BTreeSet};

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{ConfigVersion, List, NodeId, Text, Time};

use crate::fault::{FaultPoint, Faults};

/// How long a fetch is waited for before another peer is asked, in milliseconds.
const FETCH_TIMEOUT_MS: Time = 1_000;

/// Names one part of a configuration: its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct SectionId(pub [u8; 16]);

impl SectionId {
    /// The name of some content.
    pub fn of(content: &str) -> Self {
        let digest = blake3::hash(content.as_bytes());
        let mut id = [0_u8; 16];
        id.copy_from_slice(&digest.as_bytes()[..16]);
        Self(id)
    }
}

/// Names a whole configuration and its parts, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigHead {
    /// Version.
    pub version: ConfigVersion,
    /// Identifier of the apply that brought it.
    pub apply_id: Text,
    /// Parts.
    pub sections: List<SectionId>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigBundle {
    /// Its head.
    pub head: ConfigHead,
    /// Its parts, in the head's order.
    pub contents: Vec<Text>,
}

/// Messages between nodes about the configuration.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ConfigMessage {
    /// The sender has this version in force.
    Notice {
        /// Version.
        version: ConfigVersion,
    },
    /// Asks for the head in force, if later than this.
    FetchHead {
        /// Version the asker has.
        than: ConfigVersion,
    },
    /// A head.
    Head(ConfigHead),
    /// Asks for parts.
    FetchSections {
        /// Version they belong to.
        version: ConfigVersion,
        /// Names.
        sections: List<SectionId>,
    },
    /// Parts.
    Sections {
        /// Version they belong to.
        version: ConfigVersion,
        /// Contents.
        contents: List<Text>,
    },
}

/// What the spreading asks of its surroundings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOutput {
    /// Send to a peer.
    Send(NodeId, ConfigMessage),
    /// Put this configuration in force, and keep it on disk.
    Activate(ConfigBundle),
}

struct Fetch {
    version: ConfigVersion,
    asked_at: Time,
    head: Option<ConfigHead>,
    contents: BTreeMap<SectionId, Text>,
}

/// One node's part in spreading the configuration.
pub struct ConfigSpread {
    current: ConfigBundle,
    fetch: Option<Fetch>,
    faults: Faults,
}

impl ConfigSpread {
    /// Starts from what was in force before a restart, if anything.
    pub fn new(current: ConfigBundle, faults: Faults) -> Self {
        Self {
            current,
            fetch: None,
            faults,
        }
    }

    /// Version in force.
    pub fn version(&self) -> ConfigVersion {
        self.current.head.version
    }

    /// Configuration in force.
    pub fn current(&self) -> &ConfigBundle {
        &self.current
    }

    /// Takes a configuration read from the key-value service or from disk.
    pub fn offer(
        &mut self,
        bundle: ConfigBundle,
        neighbours: &[NodeId],
        output: &mut Vec<ConfigOutput>,
    ) {
        let older_is_fine = self.faults.is_set(FaultPoint::AcceptOlderConfig);
        if bundle.head.version <= self.version() && !older_is_fine {
            return;
        }
        self.current = bundle;
        let version = self.version();
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.version <= version)
        {
            self.fetch = None;
        }
        output.push(ConfigOutput::Activate(self.current.clone()));
        for neighbour in neighbours {
            let notice = ConfigMessage::Notice { version };
            output.push(ConfigOutput::Send(*neighbour, notice));
        }
    }

    /// A peer is known to have a version. Probes say so all the time, so a
    /// fetch that is not answered is taken up again with whoever is next.
    pub fn heard_of(
        &mut self,
        version: ConfigVersion,
        from: NodeId,
        now: Time,
        output: &mut Vec<ConfigOutput>,
    ) {
        let older_is_fine = self.faults.is_set(FaultPoint::AcceptOlderConfig);
        let is_older = version < self.version() && older_is_fine;
        if version <= self.version() && !is_older {
            return;
        }
        let busy = self.fetch.as_ref().is_some_and(|fetch| {
            fetch.version >= version && now < fetch.asked_at + FETCH_TIMEOUT_MS
        });
        if busy {
            return;
        }
        let mut contents = self.known_contents();
        if let Some(earlier) = self.fetch.take() {
            contents.extend(earlier.contents);
        }
        self.fetch = Some(Fetch {
            version,
            asked_at: now,
            head: None,
            contents,
        });
        let than = if is_older {
            ConfigVersion(0)
        } else {
            self.version()
        };
        output.push(ConfigOutput::Send(from, ConfigMessage::FetchHead { than }));
    }

    /// Handles one message.
    pub fn receive(
        &mut self,
        from: NodeId,
        message: ConfigMessage,
        now: Time,
        neighbours: &[NodeId],
        output: &mut Vec<ConfigOutput>,
    ) {
        match message {
            ConfigMessage::Notice { version } => self.heard_of(version, from, now, output),
            ConfigMessage::FetchHead { than } => {
                if self.version() > than {
                    let head = ConfigMessage::Head(self.current.head.clone());
                    output.push(ConfigOutput::Send(from, head));
                }
            }
            ConfigMessage::Head(head) => self.on_head(from, head, neighbours, output),
            ConfigMessage::FetchSections { version, sections } => {
                self.serve_sections(from, version, &sections, output);
            }
            ConfigMessage::Sections { version, contents } => {
                self.on_sections(version, contents, neighbours, output);
            }
        }
    }

    fn known_contents(&self) -> BTreeMap<SectionId, Text> {
        let sections = self.current.head.sections.iter().copied();
        sections
            .zip(self.current.contents.iter().cloned())
            .collect()
    }

    fn on_head(
        &mut self,
        from: NodeId,
        head: ConfigHead,
        neighbours: &[NodeId],
        output: &mut Vec<ConfigOutput>,
    ) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        if head.version < fetch.version {
            return;
        }
        fetch.version = head.version;
        let wanted: BTreeSet<SectionId> = head.sections.iter().copied().collect();
        let missing: List<SectionId> = wanted
            .into_iter()
            .filter(|section| !fetch.contents.contains_key(section))
            .collect();
        let version = head.version;
        fetch.head = Some(head);
        if missing.is_empty() {
            self.complete(neighbours, output);
            return;
        }
        let ask = ConfigMessage::FetchSections {
            version,
            sections: missing,
        };
        output.push(ConfigOutput::Send(from, ask));
    }

    fn serve_sections(
        &self,
        to: NodeId,
        version: ConfigVersion,
        sections: &[SectionId],
        output: &mut Vec<ConfigOutput>,
    ) {
        let known = self.known_contents();
        let contents: List<Text> = sections
            .iter()
            .filter_map(|section| known.get(section).cloned())
            .collect();
        if version == self.version() && contents.len() == sections.len() {
            let reply = ConfigMessage::Sections { version, contents };
            output.push(ConfigOutput::Send(to, reply));
        }
    }

    fn on_sections(
        &mut self,
        version: ConfigVersion,
        contents: List<Text>,
        neighbours: &[NodeId],
        output: &mut Vec<ConfigOutput>,
    ) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.version == version) else {
            return;
        };
        for content in contents {
            fetch.contents.insert(SectionId::of(&content), content);
        }
        self.complete(neighbours, output);
    }

    /// Puts a fetched version in force if every part is there.
    fn complete(&mut self, neighbours: &[NodeId], output: &mut Vec<ConfigOutput>) {
        let Some(fetch) = &self.fetch else {
            return;
        };
        let Some(head) = fetch.head.clone() else {
            return;
        };
        let contents: Option<Vec<Text>> = head
            .sections
            .iter()
            .map(|section| fetch.contents.get(section).cloned())
            .collect();
        let Some(contents) = contents else {
            return;
        };
        self.fetch = None;
        self.offer(ConfigBundle { head, contents }, neighbours, output);
    }
}
