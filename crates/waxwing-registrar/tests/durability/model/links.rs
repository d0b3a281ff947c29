//! The links between control hosts. A host knows of others what its settings, its log and the reports of
//! linked hosts say, and forgets them as in production.

use std::{
    collections::{BTreeSet, HashSet},
    net,
    time::Duration,
};

use waxwing_registrar::repair;

use super::{ControlModel, host_address};

/// Time between two updates of the links. A host dials again after 40 to 300 ms, and takes reports at once.
const LINKS_INTERVAL: Duration = Duration::from_millis(100);

impl ControlModel {
    /// Opens the links that a host of either side wants, closes those to lost hosts, and exchanges the
    /// reports of linked hosts.
    pub(super) fn update_links(&mut self) {
        if self.now < self.next_links {
            return;
        }
        self.next_links = self.now + LINKS_INTERVAL;
        let running: Vec<_> = (0..self.size()).filter(|host| self.runs(*host)).collect();
        let wanted: Vec<_> = (0..self.size()).map(|host| self.wanted(host)).collect();
        for host in running.iter().copied() {
            let others = running.iter().copied().filter(|other| *other != host);
            let reachable = others.filter(|other| {
                !self.blocked.contains(&(host, *other)) && !self.blocked.contains(&(*other, host))
            });
            let linked: BTreeSet<_> = reachable
                .filter(|other| wanted[host].contains(other) || wanted[*other].contains(&host))
                .collect();
            self.set_links(host, linked);
        }
        let reports: Vec<_> = (0..self.size()).map(|host| self.report_of(host)).collect();
        let now = self.epoch + self.now;
        for host in running {
            let Some(process) = &mut self.hosts[host].process else {
                continue;
            };
            for other in &process.linked {
                let reported = reports[*other].clone();
                process.reported.record(now, host_address(*other), reported);
            }
        }
    }

    /// Returns the hosts to which a host has a link that still works.
    pub(super) fn linked(&self, host: usize) -> Vec<usize> {
        let process = self.hosts[host].process.as_ref();
        let linked = process.into_iter().flat_map(|process| &process.linked);
        let works = |other: &usize| !self.blocked.contains(&(host, *other)) && self.runs(*other);
        linked.copied().filter(works).collect()
    }

    fn set_links(&mut self, host: usize, linked: BTreeSet<usize>) {
        let now = self.epoch + self.now;
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        for closed in process.linked.difference(&linked) {
            process.reported.end_report(now, host_address(*closed));
        }
        process.linked = linked;
    }

    /// Returns the hosts that a host dials.
    fn wanted(&mut self, host: usize) -> BTreeSet<usize> {
        let now = self.epoch + self.now;
        let addresses: Vec<_> = self.hosts.iter().map(|host| host.address).collect();
        let mut wanted = self.hosts[host].seeds.clone();
        let Some(process) = &mut self.hosts[host].process else {
            return BTreeSet::new();
        };
        let linked: HashSet<_> = process.linked.iter().copied().map(host_address).collect();
        let mut known: HashSet<_> = process.reported.targets(now, &linked).collect();
        known.extend(linked);
        known.extend(member_addresses(process));
        let numbers = known
            .iter()
            .filter_map(|address| addresses.iter().position(|other| other == address));
        wanted.extend(numbers);
        wanted
    }

    /// Returns what a host tells others: those that it knows by the log or by a link, and itself.
    fn report_of(&self, host: usize) -> HashSet<net::SocketAddr> {
        let Some(process) = &self.hosts[host].process else {
            return HashSet::new();
        };
        let mut known: HashSet<_> = member_addresses(process).collect();
        known.extend(process.linked.iter().copied().map(host_address));
        known.insert(host_address(host));
        known
    }
}

fn member_addresses(process: &super::HostProcess) -> impl Iterator<Item = net::SocketAddr> {
    let members = process.replica.node().members().iter();
    members.map(|(identity, _)| repair::link_address(identity.member))
}
