//! The local copy of the part of the directory that this process watches.

use std::{collections::BTreeMap, net::SocketAddr};

use waxwing_wire::messages;

/// The watched members and the control hosts, as last received from a control host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryView {
    /// The last announcement of each watched member, by process name.
    pub members: BTreeMap<String, messages::Announce>,
    /// The addresses of the control hosts, as listed by a control host; empty until the first list
    /// arrives.
    pub control: Vec<SocketAddr>,
}

impl DirectoryView {
    /// Applies a full or incremental update from a control host. A list of control hosts without a
    /// valid address leaves the known ones in place.
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
