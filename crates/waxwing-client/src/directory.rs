//! The part of the directory that this process watches.

use std::{collections::BTreeMap, net::SocketAddr};

use waxwing_wire::messages;

/// A `DirectoryView` holds the watched members by name and the known control hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryView {
    /// Watched members by process name.
    pub members: BTreeMap<String, messages::Announce>,
    /// Control hosts that a control host named.
    pub control: Vec<SocketAddr>,
}

impl DirectoryView {
    /// Applies a message of a control host.
    pub fn apply(&mut self, update: messages::Directory) {
        if update.whole {
            self.members.clear();
        }
        for name in &update.gone {
            self.members.remove(name);
        }
        for member in update.members {
            let name = member.process.as_ref().map(|process| process.name.clone());
            self.members.insert(name.unwrap_or_default(), member);
        }
        let control = update.control.iter();
        let addresses: Vec<_> = control.filter_map(|text| text.parse().ok()).collect();
        if !addresses.is_empty() {
            self.control = addresses;
        }
    }
}
