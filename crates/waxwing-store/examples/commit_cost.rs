//! Measures the cost of a committed command in network bytes, disk bytes, syncs and time, as the
//! slope between a short and a long run in one process. The time is that of all voters on one
//! thread, so compare only rows of the same run.
//!
//! `cargo run --release -p waxwing-store --example commit_cost`

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_quorum::{members, messages, node, options, ready};
use waxwing_store::{disk, memory, store};

const COMMAND_BYTES: usize = 200;
const SHORT_RUN: u64 = 256;
const LONG_RUN: u64 = 2304;

/// Resources used so far by all voters together.
#[derive(Debug, Clone, Copy, Default)]
struct CostSample {
    network_bytes: f64,
    messages: f64,
    syncs: f64,
    micros: f64,
}

struct Voter<D: disk::Disk> {
    node: node::QuorumNode,
    store: store::LogStore<D>,
}

struct Group<D: disk::Disk> {
    voters: Vec<Voter<D>>,
    network: VecDeque<(ids::MemberId, ids::MemberId, Bytes)>,
    now: Duration,
    sample: CostSample,
}

impl<D: disk::Disk> Group<D> {
    fn found(disks: Vec<D>) -> anyhow::Result<Self> {
        let mut opened = Vec::new();
        for (member, disk) in (1..).zip(disks) {
            let options = store::StoreOptions::default();
            let store = ids::StoreId(u128::from(member));
            opened.push(store::LogStore::open(disk, ids::MemberId(member), store, options)?.0);
        }
        let identities: Vec<_> = opened.iter().map(store::LogStore::identity).collect();
        let founding =
            ready::Snapshot::founding(members::Membership::from_voters(&identities), Bytes::new());
        let mut voters = Vec::new();
        for mut store in opened {
            let recovered = store.bootstrap(founding.clone())?;
            let identity = store.identity();
            let seed = identity.member.0;
            let options = options::NodeOptions::default();
            let node = node::QuorumNode::new(identity, options, recovered, seed, Duration::ZERO)?;
            voters.push(Voter { node, store });
        }
        Ok(Self {
            voters,
            network: VecDeque::new(),
            now: Duration::ZERO,
            sample: CostSample::default(),
        })
    }

    /// Delivers messages and executes writes without any delay until all nodes are idle.
    fn run_until_idle(&mut self) -> anyhow::Result<()> {
        loop {
            let mut idle = true;
            for voter in &mut self.voters {
                let ready = voter.node.take_ready();
                idle &= ready.is_empty();
                let from = voter.node.identity().member;
                for outgoing in ready.messages {
                    let payload = messages::encode(&outgoing.message);
                    self.sample.network_bytes += payload.len() as f64;
                    self.sample.messages += 1.0;
                    self.network.push_back((from, outgoing.to, payload));
                }
                if let Some(batch) = ready.writes {
                    voter.store.write(&batch)?;
                    self.sample.syncs += 1.0;
                    voter.node.persisted(batch.sequence);
                }
            }
            while let Some((from, to, payload)) = self.network.pop_front() {
                let message = messages::decode(payload)?;
                let position = usize::try_from(to.0 - 1)?;
                self.voters[position]
                    .node
                    .receive(self.now, from, message)?;
            }
            if idle {
                return Ok(());
            }
        }
    }

    fn elect(&mut self) -> anyhow::Result<()> {
        while !self
            .voters
            .iter()
            .any(|voter| voter.node.status().role == ready::NodeRole::Leader)
        {
            self.now += Duration::from_millis(10);
            for voter in &mut self.voters {
                voter.node.tick(self.now);
            }
            self.run_until_idle()?;
        }
        Ok(())
    }

    /// Commits `count` commands in batches of `batch_size`, and returns what they cost.
    fn commit(&mut self, count: u64, batch_size: u64) -> anyhow::Result<CostSample> {
        let before = self.sample;
        let start = Instant::now();
        let command = Bytes::from(vec![3; COMMAND_BYTES]);
        let is_leader = |voter: &Voter<D>| voter.node.status().role == ready::NodeRole::Leader;
        let leader = self.voters.iter().position(is_leader);
        let leader = leader.ok_or_else(|| anyhow::anyhow!("no leader"))?;
        for _ in 0..count / batch_size {
            for _ in 0..batch_size {
                self.voters[leader].node.propose(command.clone())?;
            }
            self.run_until_idle()?;
        }
        Ok(CostSample {
            network_bytes: self.sample.network_bytes - before.network_bytes,
            messages: self.sample.messages - before.messages,
            syncs: self.sample.syncs - before.syncs,
            micros: start.elapsed().as_secs_f64() * 1e6,
        })
    }
}

/// Prints the network traffic of a group without commands, which counts towards the bandwidth
/// budget of control traffic.
fn measure_idle(voters: usize) -> anyhow::Result<()> {
    const SECONDS: u64 = 60;
    let disks = (0..voters).map(|_| memory::MemoryDisk::new()).collect();
    let mut group = Group::found(disks)?;
    group.elect()?;
    group.sample = CostSample::default();
    for _ in 0..SECONDS * 100 {
        group.now += Duration::from_millis(10);
        for voter in &mut group.voters {
            voter.node.tick(group.now);
        }
        group.run_until_idle()?;
    }
    let rate = group.sample.network_bytes / SECONDS as f64;
    println!("idle, {voters} voters: {rate:.0} bytes/s between all of them");
    Ok(())
}

fn measure<D: disk::Disk>(
    label: &str,
    batch_size: u64,
    disks: Vec<D>,
    written: impl Fn() -> Option<u64>,
) -> anyhow::Result<()> {
    let voters = disks.len();
    let mut group = Group::found(disks)?;
    group.elect()?;
    let short = group.commit(SHORT_RUN, batch_size)?;
    let written_before = written();
    let long = group.commit(LONG_RUN, batch_size)?;
    let slope = |long: f64, short: f64| (long - short) / (LONG_RUN - SHORT_RUN) as f64;
    let disk = written().zip(written_before).map(|(after, before)| {
        let bytes = (after - before) as f64 / LONG_RUN as f64;
        format!("{bytes:.0}")
    });
    println!(
        "{label:8} {voters:6} {batch_size:8} {:13.0} {:8.2} {:10} {:8.3} {:10.1}",
        slope(long.network_bytes, short.network_bytes),
        slope(long.messages, short.messages),
        disk.unwrap_or_else(|| "-".to_owned()),
        slope(long.syncs, short.syncs),
        slope(long.micros, short.micros),
    );
    Ok(())
}

fn main() -> anyhow::Result<()> {
    println!("per committed command of {COMMAND_BYTES} bytes, all voters together:");
    println!("disk     voters    batch network bytes messages disk bytes    syncs  micros");
    for voters in [3, 5] {
        for batch_size in [1, 16, 256] {
            let disks: Vec<_> = (0..voters).map(|_| memory::MemoryDisk::new()).collect();
            let counted = disks.clone();
            let written = move || Some(counted.iter().map(memory::MemoryDisk::written).sum());
            measure("memory", batch_size, disks, written)?;
            let folder = tempfile::tempdir()?;
            let open = |voter: i32| disk::FolderDisk::open(&folder.path().join(voter.to_string()));
            let disks = (0..voters).map(open).collect::<Result<Vec<_>, _>>()?;
            measure("folder", batch_size, disks, || None)?;
        }
    }
    for voters in [3, 5] {
        measure_idle(voters)?;
    }
    Ok(())
}
