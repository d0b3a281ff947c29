//! The status of one control host for `waxwingctl status`.

use waxwing_core::{clock::Clock, ids};
use waxwing_settings::operations;
use waxwing_wire::messages;

use crate::{directory, host, log};

/// Collects the status of a host. `confirmed` tells whether a quorum has just confirmed its state.
pub(crate) fn collect<C: Clock>(
    host: &host::HostState<C>,
    confirmed: bool,
) -> operations::StatusAnswer {
    let log_status = host.log.shared.status.borrow().clone();
    let machine = host.log.shared.read();
    let version = machine.settings().version();
    let member_infos = machine.members().clone();
    let draining = machine.settings().typed().fleet.draining.iter();
    let mut answer = operations::StatusAnswer {
        host: host.options.name.to_string(),
        leader: log_status.leader.clone(),
        term: log_status.term,
        confirmed,
        version,
        applied: machine.applied(),
        fencing: machine.fencing(),
        claims: machine.claims().len(),
        members: Vec::new(),
        processes: Vec::new(),
        draining: draining.map(ToString::to_string).collect(),
        name_conflicts: Vec::new(),
    };
    drop(machine);
    for (member, voter) in &log_status.members {
        let found = member_infos
            .values()
            .find(|info| log::member_id(&info.name).0 == *member);
        let info = found.cloned().unwrap_or_default();
        let name = found.map_or_else(|| member.to_string(), |info| info.name.clone());
        answer.members.push(operations::MemberStatus {
            leads: log_status.leader.as_ref() == Some(&name),
            name,
            voter: *voter,
            link: info.link,
            http: info.http,
            data_centre: info.data_centre,
        });
    }
    let directory = host.directory();
    let members = directory.members();
    answer
        .processes
        .extend(members.map(|(name, entry)| process_status(name, entry, version)));
    answer
        .name_conflicts
        .extend(directory.conflicts().map(ToOwned::to_owned));
    answer
}

fn process_status(
    name: &str,
    entry: &directory::DirectoryEntry,
    version: ids::SettingsVersion,
) -> operations::ProcessStatus {
    let process = entry.announce.process.clone().unwrap_or_default();
    let kind = match messages::ProcessKind::try_from(process.kind) {
        Ok(messages::ProcessKind::Entry) => "entry",
        Ok(messages::ProcessKind::Agent) => "agent",
        Ok(messages::ProcessKind::Control) => "control",
        _ => "tool",
    };
    let endpoint = entry.announce.endpoint.as_ref();
    operations::ProcessStatus {
        name: name.to_owned(),
        kind: kind.to_owned(),
        data_centre: process.data_centre,
        incarnation: ids::Incarnation(process.incarnation),
        version: ids::SettingsVersion(entry.settings_version),
        lagging: entry.settings_version < version.0,
        leaving: entry.announce.leaving,
        models: endpoint.map_or_else(Vec::new, |endpoint| endpoint.models.clone()),
    }
}
