//! Applies items and changes to the mirror's view.

use std::collections::BTreeSet;
use std::panic::{self, AssertUnwindSafe};
use std::rc::Rc;

use bytes::Bytes;
use stageyoke_types::Text;

use super::{Mirror, MirrorEvent};
use crate::item_parser::unreadable_item;
use crate::key_value::{Change, Item, KeyValueService, RangePage};
use crate::view::{Changed, Interpreter, ListedKeys, Update, View};

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    pub(super) fn apply_item(
        &self,
        key: &str,
        item: Option<Item>,
        revision: u64,
        changed: &mut Changed,
    ) -> Update {
        let value = item.as_ref().map(|item| &item.value);
        let revision = item.as_ref().map_or(revision, |item| item.revision);
        let update = self.interpret(key, value);
        if key == self.interpreter.routes_key() && matches!(update, Update::Routes(_)) {
            let newest = self.routes_revision.get().max(revision);
            self.routes_revision.set(newest);
        }
        if let Some(items) = &self.items
            && !matches!(update, Update::Ignored)
        {
            match item {
                Some(item) => drop(items.borrow_mut().insert(key.to_owned(), item)),
                None => drop(items.borrow_mut().remove(key)),
            }
        }
        if let Update::Replica { id, .. } | Update::Unusable { id, .. } = &update {
            self.record_changed_replica(id);
        }
        self.edit_view(
            |view, changed| view.apply(update.clone(), revision, changed),
            changed,
        );
        update
    }

    /// Parses an item. A panic counts as an unreadable item: all processes read the same items, so
    /// it would stop all of them.
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let interpreting = AssertUnwindSafe(|| self.interpreter.interpret(key, value));
        let update = panic::catch_unwind(interpreting);
        update.unwrap_or_else(|_| unreadable_item(key, "its interpretation panicked"))
    }

    fn record_changed_replica(&self, id: &Text) {
        if self.items.is_none() {
            self.changed_replicas.borrow_mut().insert(id.clone());
        }
    }

    pub(super) fn apply_changes(&self, changes: Vec<Change>, report: &mut impl FnMut(MirrorEvent)) {
        let mut changed = Changed::default();
        for change in changes {
            self.cache_recent_change(&change);
            let (key, item, revision) = match change {
                Change::Written(item) => (item.key.clone(), Some(item), 0),
                Change::Removed { key, revision } => (key, None, revision),
            };
            let update = self.apply_item(&key, item, revision, &mut changed);
            if let Update::Unreadable(reason) | Update::Unusable { reason, .. } = update {
                report(MirrorEvent::Unreadable(reason));
            }
        }
        if changed != Changed::default() {
            report(MirrorEvent::Changed(changed));
        }
    }

    /// Caches a change for relaying, if the mirror caches items.
    pub(super) fn cache_recent_change(&self, change: &Change) {
        if self.items.is_some() {
            self.recent_changes.borrow_mut().push(change.clone());
        }
    }

    /// Caches the changes between the items of this process and those of a complete read for
    /// relaying, so that peers which are as old need not read everything.
    fn cache_missed_changes(&self, pages: &[RangePage], revision: u64) {
        let Some(items) = &self.items else {
            return;
        };
        let held_revision = self.freshness.revision();
        let mut recent_changes = self.recent_changes.borrow_mut();
        if held_revision == 0 || self.items_may_be_newer.get() {
            recent_changes.reset(revision);
            return;
        }
        let read_items = || pages.iter().flat_map(|page| &page.items);
        let keys: BTreeSet<&str> = read_items().map(|item| item.key.as_str()).collect();
        let items = items.borrow();
        let removed = items.keys().filter(|key| !keys.contains(key.as_str()));
        let removed = removed.map(|key| Change::Removed {
            key: key.clone(),
            revision: revision_of_absence(pages, key),
        });
        let written = read_items().filter(|item| item.revision > held_revision);
        let mut missed: Vec<Change> = written.cloned().map(Change::Written).collect();
        missed.extend(removed);
        missed.sort_by_key(Change::revision);
        for change in missed {
            recent_changes.push(change);
        }
    }

    pub(super) fn apply_pages(&self, pages: Vec<RangePage>, report: &mut impl FnMut(MirrorEvent)) {
        let mut changed = Changed::default();
        let mut listed = ListedKeys::default();
        let mut keys: BTreeSet<String> = BTreeSet::new();
        let revision = pages.first().map_or(0, |page| page.revision);
        self.cache_missed_changes(&pages, revision);
        for item in pages.into_iter().flat_map(|page| page.items) {
            let key = item.key.clone();
            keys.insert(key.clone());
            let update = self.apply_item(&key, Some(item), 0, &mut changed);
            listed.insert(&update);
            if let Update::Unreadable(reason) | Update::Unusable { reason, .. } = update {
                report(MirrorEvent::Unreadable(reason));
            }
        }
        if let Some(items) = &self.items {
            items.borrow_mut().retain(|key, _| keys.contains(key));
        }
        for id in self.view().replicas.keys() {
            if !listed.replicas.contains(id) {
                self.record_changed_replica(id);
            }
        }
        self.edit_view(
            |view, changed| view.retain_listed(&listed, changed),
            &mut changed,
        );
        if changed != Changed::default() {
            report(MirrorEvent::Changed(changed));
        }
    }

    pub(super) fn edit_view(
        &self,
        change: impl FnOnce(&mut View, &mut Changed),
        changed: &mut Changed,
    ) {
        let mut view = self.view.borrow_mut();
        change(Rc::make_mut(&mut view), changed);
        drop(view);
        if *changed != Changed::default() {
            self.change_count.set(self.change_count.get() + 1);
            self.view_changed.notify_waiters();
        }
    }
}

/// Returns the latest revision at which a key that is in none of the pages was absent. Its
/// removal may be older; it has not been written again up to this revision.
fn revision_of_absence(pages: &[RangePage], key: &str) -> u64 {
    let ends_after_key = |page: &&RangePage| {
        let last = page.items.last();
        !page.more || last.is_some_and(|item| item.key.as_str() > key)
    };
    let covering = pages.iter().find(ends_after_key).or(pages.last());
    covering.map_or(0, |page| page.revision)
}
