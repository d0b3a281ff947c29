//! Calls of operators, and the checks of what they are answered.

use std::time::Duration;

use rand::RngExt as _;
use waxwing_registrar::{departures, documents, replica};
use waxwing_rollout::ledger;
use waxwing_store::memory;
use waxwing_wire::messages::EndpointDeparture;

use super::{CallKind, ControlModel, OpenCall, RunCounts, body};

/// Orders in a run. Snapshots travel in pieces of 16 bytes here, each of which takes a round trip; the
/// state of some fifty orders takes longer than the pause between two snapshots.
const MAX_ORDERS: u64 = 6;

impl ControlModel {
    fn open_call(&mut self, kind: CallKind) -> u64 {
        self.last_ticket += 1;
        let call = OpenCall {
            kind,
            floor: self.newest,
            departed: self.departed.len(),
            ordered: self.ordered.len(),
        };
        self.calls.insert(self.last_ticket, call);
        self.last_ticket
    }

    /// An endpoint leaves at a host.
    pub(crate) fn depart(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        // Lives begin at 0, the lowest start time.
        let endpoint = self.next_endpoint;
        self.next_endpoint += 1;
        let ticket = self.open_call(CallKind::Depart(endpoint));
        let list = departures::DepartureList {
            departures: vec![EndpointDeparture {
                id: endpoint.to_string(),
                born: endpoint,
            }],
        };
        if let Some(process) = &mut self.hosts[host].process {
            process.replica.record_departures(&list, ticket);
        }
        self.drive(host);
    }

    /// An operator orders the roll-out of another service at a host.
    pub(crate) fn order(&mut self, host: usize) {
        if !self.runs(host) || self.last_service == MAX_ORDERS {
            return;
        }
        self.last_service += 1;
        let service = self.last_service;
        let ticket = self.open_call(CallKind::Order(service));
        let change = ledger::RolloutChange {
            order: Some(ledger::RolloutOrder {
                service: service.to_string(),
                target: "next".to_owned(),
                period_millis: 12_000,
                ordered_millis: service,
            }),
            step: None,
        };
        if let Some(process) = &mut self.hosts[host].process {
            process.replica.change_rollout(&change, ticket);
        }
        self.drive(host);
    }

    /// Checks that a host which has just answered a read knows the roll-outs that had been
    /// acknowledged when the read was sent.
    fn check_rollouts(&mut self, host: usize, acknowledged: usize) {
        let Some(process) = &self.hosts[host].process else {
            return;
        };
        let ledger = process.replica.rollouts();
        let lost = self.ordered[..acknowledged]
            .iter()
            .find(|service| ledger.record(&service.to_string()).is_none());
        if let Some(lost) = lost {
            let text = format!("host {host} has lost the roll-out of service {lost}");
            self.report(text);
        }
    }

    /// Checks that a host which has just answered a read knows the departures that had been
    /// acknowledged when the read was sent.
    fn check_departures(&mut self, host: usize, acknowledged: usize) {
        let Some(process) = &self.hosts[host].process else {
            return;
        };
        let ledger = process.replica.departures();
        let lost = self.departed[..acknowledged]
            .iter()
            .find(|endpoint| !ledger.covers(&endpoint.to_string(), Some(**endpoint)));
        if let Some(lost) = lost {
            let text = format!("host {host} has lost the departure of endpoint {lost}");
            self.report(text);
        }
    }

    /// Sends a new version to a host, or the first one until it is acknowledged.
    pub(crate) fn put(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        if let (None, Some(first)) = (self.newest, self.sent.first()) {
            return self.send_put(host, *first);
        }
        let version = self.next_version;
        self.next_version += 1;
        self.sent.push(version);
        self.send_put(host, version);
    }

    /// Sends a version that was sent before once more.
    pub(crate) fn resend(&mut self, host: usize) {
        if self.runs(host) && !self.sent.is_empty() {
            let back = match self.random.random_range(0..3_u64) {
                0 => 0,
                1 => 1,
                _ => 2,
            };
            let newest = self.sent.len() - 1;
            self.send_put(host, self.sent[newest.saturating_sub(back)]);
        }
    }

    fn send_put(&mut self, host: usize, version: u64) {
        let ticket = self.open_call(CallKind::Put(version));
        let now = self.elapsed(host);
        let document = documents::StoredDocument {
            version,
            body: body(version),
        };
        if let Some(process) = &mut self.hosts[host].process {
            process.replica.put(now, document, ticket);
        }
        self.drive(host);
    }

    pub(crate) fn read(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let ticket = self.open_call(CallKind::Read);
        let now = self.elapsed(host);
        if let Some(process) = &mut self.hosts[host].process {
            process.replica.read(now, ticket);
        }
        self.drive(host);
    }

    pub(super) fn check_outcome(
        &mut self,
        host: usize,
        ticket: u64,
        outcome: &replica::CallOutcome,
    ) {
        let (Some(call), Ok(document)) = (self.calls.remove(&ticket), outcome) else {
            return;
        };
        let version = document.as_ref().map(|document| document.version);
        if let Some(document) = document
            && document.body != body(document.version)
        {
            self.report(format!(
                "host {host} answers version {} with another document",
                document.version
            ));
        }
        match call.kind {
            CallKind::Depart(endpoint) => {
                self.counts.departures += 1;
                self.departed.push(endpoint);
            }
            CallKind::Order(service) => {
                self.counts.orders += 1;
                self.ordered.push(service);
            }
            CallKind::Put(stored) => {
                self.counts.acknowledged += 1;
                if version < Some(stored) {
                    self.report(format!(
                        "host {host} acknowledges version {stored} and holds {version:?}"
                    ));
                }
                self.newest = self.newest.max(Some(stored));
            }
            CallKind::Read => {
                self.counts.reads += 1;
                self.check_departures(host, call.departed);
                self.check_rollouts(host, call.ordered);
                let floor = call.floor;
                if version < floor {
                    self.report(format!(
                        "version {version:?} is read at host {host}, {floor:?} had been confirmed"
                    ));
                }
                self.newest = self.newest.max(version);
            }
        }
    }

    /// Ends all faults, and checks that a new version can be stored and that nothing confirmed is
    /// lost.
    pub(crate) fn recover_and_check(&mut self) -> Result<RunCounts, String> {
        self.heal();
        for host in 0..self.size() {
            self.hosts[host].write_delay = Duration::ZERO;
            self.hosts[host].stopped = None;
            self.hosts[host]
                .disk
                .set_faults(memory::DiskFaults::default());
        }
        let before = self.counts;
        for _ in 0..100 {
            self.run(Duration::from_millis(200), |_| {});
            if let Some(leader) = self.leader() {
                self.read(leader);
                self.put(leader);
            }
        }
        let progressed =
            self.counts.acknowledged > before.acknowledged && self.counts.reads > before.reads;
        if !progressed {
            self.report("the recovered group stores or reads nothing".to_owned());
        }
        self.violation.clone().map_or(Ok(self.counts), Err)
    }
}
