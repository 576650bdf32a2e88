//! Everything that the copy-on-write logic decides in seeded runs of a catalog with its hosts, reduced to one hash a
//! seed. The hashes were recorded before the code was restructured: a hash that differs means that a
//! decision, a constant or the order of a result has changed.
//!
//! Trees and changes enter the hash as the JSON that is stored and sent; decisions by codes of this file, so that
//! names in the code are free.
use mallowseam_cow::consistent_cut::{
    CUT_TIMEOUT, ConsistentCut, CutFailure, CutProgress, decide_completion,
};
use mallowseam_cow::copy_budget::{self, CopyBudget};
use mallowseam_cow::leases::{HostLeases, LEASE_DURATION, LEASE_MARGIN};
use mallowseam_cow::messages::{ToHost, full_tree_messages};
use mallowseam_cow::reclaim::{BATCH_SIZE, Reclaimer};
use mallowseam_cow::split_write::{PartAdmission, SplitWrite};
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Location, Tree};
use mallowseam_cow::tree_replica::{Lookup, SLOT_BATCH, TreeReplica};
use mallowseam_test_support::{Digest, SeededRng};
use std::collections::{BTreeSet, VecDeque};

const STEPS: usize = 2_000;
const EXTENTS: u32 = 48;
const NODES: u64 = 3;
const HOSTS: usize = 3;

/// A digest of values of eight bytes, and of texts with their lengths.
struct Record(Digest);

impl Record {
    fn number(&mut self, value: u64) {
        self.0.add(value);
    }

    fn numbers(&mut self, values: impl IntoIterator<Item = u64>) {
        let values: Vec<u64> = values.into_iter().collect();
        self.number(values.len() as u64);
        for value in values {
            self.number(value);
        }
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.0.add_bytes(text.as_bytes());
    }

    fn location(&mut self, layer: LayerId, location: Location) {
        self.numbers([layer.into(), location.node.into(), location.slot.into()]);
    }

    fn change_error(&mut self, error: &ChangeError) {
        self.number(99);
        self.text(&error.to_string());
    }

    fn lookup(&mut self, lookup: Lookup) {
        match lookup {
            Lookup::Found(layer, location) => {
                self.number(1);
                self.location(layer, location);
            }
            Lookup::Zeros => self.number(2),
            Lookup::CopyFirst { into, from } => {
                self.numbers([3, into.into()]);
                if let Some((layer, location)) = from {
                    self.location(layer, location);
                }
            }
            Lookup::Blocked => self.number(4),
            Lookup::NoLease => self.number(5),
            Lookup::UnknownName => self.number(6),
        }
    }

    fn failure(&mut self, failed: &CutFailure) {
        match failed {
            CutFailure::Rejected(error) => {
                self.number(1);
                self.text(&error.to_string());
            }
            CutFailure::NodesNotClosed(nodes) => {
                self.number(2);
                self.numbers(nodes.iter().map(|n| u64::from(*n)));
            }
            CutFailure::HostsNotQuiesced(hosts) => {
                self.number(3);
                for host in hosts {
                    self.text(host);
                }
            }
        }
    }
}

struct Host {
    name: String,
    replica: TreeReplica,
    budget: CopyBudget,
    split_write: SplitWrite,
    /// Changes that were sent and not received yet.
    inbox: VecDeque<(u64, Change)>,
    copying: Vec<ExtentCopy>,
}

/// An extent that is being copied into a layer.
struct ExtentCopy {
    layer: LayerId,
    extent: u32,
    has_failed: bool,
}

struct Run {
    rng: SeededRng,
    record: Record,
    now: u64,
    tree: Tree,
    leases: HostLeases,
    reclaimer: Reclaimer,
    cuts: Vec<ConsistentCut>,
    hosts: Vec<Host>,
    awaiting_writable: Vec<(u64, LayerId, u32)>,
    in_flight: Vec<(LayerId, u32)>,
    names_created: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let host = |n: usize| Host {
            name: format!("h{n}"),
            replica: TreeReplica::default(),
            budget: CopyBudget::default(),
            split_write: SplitWrite::default(),
            inbox: VecDeque::new(),
            copying: Vec::new(),
        };
        let mut run = Run {
            rng: SeededRng::new(seed),
            record: Record(Digest::default()),
            now: 10,
            tree: Tree::default(),
            leases: HostLeases::new(10, seed.is_multiple_of(2)),
            reclaimer: Reclaimer::default(),
            cuts: Vec::new(),
            hosts: (0..HOSTS).map(host).collect(),
            awaiting_writable: Vec::new(),
            in_flight: Vec::new(),
            names_created: 0,
        };
        run.apply(&Change::BranchCreated {
            branch: "a".into(),
            extent_count: EXTENTS,
        });
        (0..HOSTS).for_each(|h| run.connect(h));
        run
    }

    /// Applies a change if the tree allows it, and sends it to the hosts. Whether it was applied.
    fn apply(&mut self, change: &Change) -> bool {
        self.record
            .text(&serde_json::to_string(change).expect("plain data"));
        let effects = match self.tree.apply(change) {
            Ok(effects) => effects,
            Err(error) => {
                self.record.change_error(&error);
                return false;
            }
        };
        let record = &mut self.record;
        record.number(self.tree.version);
        record.numbers(effects.layers.iter().map(|l| u64::from(*l)));
        record.numbers(
            effects
                .locations
                .iter()
                .flat_map(|(l, e)| [u64::from(*l), u64::from(*e)]),
        );
        effects
            .branches
            .iter()
            .chain(&effects.snapshots)
            .for_each(|n| record.text(n));
        record.numbers(effects.dereferenced.map(u64::from));
        record.numbers(
            effects
                .placed
                .into_iter()
                .flat_map(|(l, e)| [u64::from(l), u64::from(e)]),
        );
        record.numbers(
            self.tree
                .newly_unreachable(&effects)
                .into_iter()
                .flat_map(|(l, e)| [u64::from(l), u64::from(e)]),
        );
        self.reclaimer.record_change(&self.tree, &effects);
        let version = self.tree.version;
        self.hosts
            .iter_mut()
            .for_each(|h| h.inbox.push_back((version, change.clone())));
        true
    }

    /// A host receives the full tree.
    fn connect(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        self.record.numbers(
            host.replica
                .tree_version()
                .into_iter()
                .flat_map(|replica| [replica.catalog_id, replica.version]),
        );
        for message in full_tree_messages(7, &self.tree) {
            let valid = match message {
                ToHost::FullTree { catalog_id, tree } => {
                    host.replica.begin_full_tree(catalog_id, *tree);
                    true
                }
                ToHost::Locations { layer, locations } => {
                    host.replica.add_locations(layer, &locations)
                }
                _ => host.replica.finish_full_tree(),
            };
            self.record.number(valid.into());
        }
        host.inbox.clear();
    }

    fn branch(&mut self) -> String {
        let names: Vec<String> = self.tree.branches.keys().cloned().collect();
        self.rng.choose(&names).cloned().unwrap_or_default()
    }

    fn snapshot(&mut self) -> Option<String> {
        let names: Vec<String> = self.tree.snapshots.keys().cloned().collect();
        self.rng.choose(&names).cloned()
    }

    fn layer(&mut self) -> LayerId {
        let layers: Vec<LayerId> = self.tree.layers.keys().copied().collect();
        self.rng.choose(&layers).copied().unwrap_or_default()
    }

    fn name(&mut self) -> String {
        self.names_created += 1;
        format!("n{}", self.names_created)
    }

    /// A block I/O: looked up, and copied first where that is needed.
    fn block_io(&mut self) {
        let name = match self.rng.below(8) {
            0 => self.snapshot().unwrap_or_else(|| "nobody".into()),
            _ => self.branch(),
        };
        let (h, extent) = (
            self.rng.below(HOSTS as u64) as usize,
            self.rng.below(EXTENTS.into()) as u32,
        );
        let write = self.rng.below(3) > 0;
        let host = &mut self.hosts[h];
        let lookup = host.replica.look_up(&name, extent, write, self.now);
        self.record.lookup(lookup);
        self.record.number(host.replica.has_lease(self.now).into());
        let Lookup::CopyFirst { into, .. } = lookup else {
            return;
        };
        let is_retry = host
            .copying
            .iter()
            .any(|c| c.layer == into && c.extent == extent && c.has_failed);
        let starts = host
            .budget
            .may_start(host.copying.len(), is_retry, self.now);
        self.record
            .numbers([starts.into(), host.budget.rejected_retries()]);
        if starts && !is_retry {
            host.copying.push(ExtentCopy {
                layer: into,
                extent,
                has_failed: false,
            });
        }
        if host.replica.needs_slots(into) {
            self.record.number(8);
            let first = self.tree.layers.get(&into).map_or(0, |l| l.next_slot);
            if self.apply(&Change::SlotsAllocated {
                layer: into,
                first,
                count: SLOT_BATCH,
            }) {
                self.hosts[h].replica.add_slots(into, first, SLOT_BATCH);
            }
        }
    }

    /// A copy succeeds, at a location of its own, or fails.
    fn copy_finishes(&mut self) {
        let h = self.rng.below(HOSTS as u64) as usize;
        let succeeds = self.rng.below(4) > 0;
        let host = &mut self.hosts[h];
        if host.copying.is_empty() {
            return;
        }
        let index = self.rng.below(host.copying.len() as u64) as usize;
        if !succeeds {
            host.copying[index].has_failed = true;
            return;
        }
        let ExtentCopy { layer, extent, .. } = host.copying.remove(index);
        host.budget.record_success();
        let slot = host.replica.take_slot(layer);
        self.record.numbers(slot.map(u64::from));
        let Some(slot) = slot else { return };
        let location = Location {
            node: self.rng.below(NODES) as u32,
            slot,
        };
        let change = Change::ExtentPlaced {
            layer,
            extent,
            location,
        };
        match self.tree.conflicting_location(&change) {
            Ok(None) => {
                if self.apply(&change) {
                    self.awaiting_writable
                        .push((self.tree.version, layer, extent));
                }
            }
            Ok(Some(first)) => self.record.location(layer, first),
            Err(error) => self.record.change_error(&error),
        }
    }

    fn make_writable(&mut self) {
        for (version, layer, extent) in std::mem::take(&mut self.awaiting_writable) {
            if self.leases.is_effective(version, self.now) {
                self.apply(&Change::ExtentWritable { layer, extent });
            } else {
                self.awaiting_writable.push((version, layer, extent));
            }
        }
    }

    /// A host applies some of the changes that are on their way.
    fn receive_changes(&mut self) {
        let host = self.rng.below(HOSTS as u64) as usize;
        let count = self.rng.below(12);
        for _ in 0..count {
            let h = &mut self.hosts[host];
            let Some((version, change)) = h.inbox.pop_front() else {
                return;
            };
            let follows = h.replica.apply_change(version, &change);
            self.record.number(follows.into());
            if !follows {
                h.replica.invalidate();
                return self.connect(host);
            }
            self.leases
                .acknowledge(&h.name, h.replica.version().unwrap_or(0));
        }
    }

    fn renew_leases(&mut self) {
        for host in &mut self.hosts {
            let due = host.replica.renewal_due(self.now);
            self.record.number(due.into());
            if due && self.rng.below(8) > 0 {
                let version = host.replica.version().unwrap_or(0);
                let duration = self.leases.renew(&host.name, version, self.now);
                self.record.number(duration);
                host.replica.lease_granted(self.now, duration);
            }
        }
    }

    fn close_layers(&mut self) {
        let due: Vec<(LayerId, u32)> = self.tree.pending_closes().collect();
        self.record
            .numbers(due.iter().flat_map(|(l, n)| [u64::from(*l), u64::from(*n)]));
        for (layer, node) in due {
            if self.rng.below(3) > 0 {
                self.apply(&Change::LayerClosed { layer, node });
            }
        }
    }

    fn begin_cut(&mut self) {
        let branch = self.branch();
        let name = if self.rng.below(12) == 0 {
            "twice".into()
        } else {
            self.name()
        };
        let hosts = self.leases.active_hosts(self.now);
        match ConsistentCut::begin(&self.tree, &branch, &name, hosts, self.now) {
            Ok((change, cut)) => {
                self.record.number(cut.layer.into());
                if self.apply(&change) {
                    self.cuts.push(cut);
                }
            }
            Err(failed) => self.record.failure(&failed),
        }
    }

    fn advance_cuts(&mut self) {
        for mut cut in std::mem::take(&mut self.cuts) {
            for host in 0..HOSTS {
                if self.rng.below(3) == 0 {
                    cut.host_quiesced(cut.layer, &format!("h{host}"));
                }
            }
            let holding = self.leases.active_hosts(self.now);
            self.record
                .number(cut.unquiesced_hosts(&holding).len() as u64);
            match cut.progress(&self.tree, self.now) {
                CutProgress::Wait => {
                    self.record.number(1);
                    self.cuts.push(cut);
                }
                CutProgress::Restart => {
                    self.record.number(2);
                    if let Some(change) = cut.restart(&self.tree, holding) {
                        self.apply(&change);
                    }
                    self.cuts.push(cut);
                }
                CutProgress::Grant(change) => {
                    self.record.number(3);
                    self.apply(&change);
                }
                CutProgress::Fail(failed) => self.record.failure(&failed),
            }
        }
    }

    /// A write of several parts takes a step.
    fn step_split_write(&mut self) {
        let h = self.rng.below(HOSTS as u64) as usize;
        let branch = self.branch();
        let (head, other) = (self.tree.branches[&branch].head, self.layer());
        let now = self.now;
        let host = &mut self.hosts[h];
        match self.rng.below(4) {
            0 => host.split_write.part_completed(head),
            1 => host.split_write = SplitWrite::default(),
            _ => {
                let in_flight_elsewhere = self.rng.below(5) == 0;
                match host.split_write.admit(head, in_flight_elsewhere, now) {
                    PartAdmission::Send => self.record.number(1),
                    PartAdmission::Wait => self.record.number(2),
                    PartAdmission::Reject => self.record.number(3),
                    PartAdmission::RequestPermission(layer) => {
                        self.record.numbers([4, layer.into()]);
                        let found = decide_completion(&self.tree, layer);
                        let granted = found.as_ref().is_some_and(|found| found.is_granted);
                        let frozen_layers =
                            found.map(|found| found.frozen_layers).unwrap_or_default();
                        self.record.number(granted.into());
                        self.record
                            .numbers(frozen_layers.iter().map(|l| u64::from(*l)));
                        if granted {
                            self.cuts
                                .iter_mut()
                                .filter(|c| frozen_layers.contains(&c.layer))
                                .for_each(ConsistentCut::mark_stale);
                        }
                        if self.rng.below(3) > 0 {
                            self.hosts[h].split_write.permission_decided(layer, granted);
                        }
                    }
                }
            }
        }
        self.record
            .number(self.hosts[h].split_write.started_in_or_before(other).into());
    }

    fn reclaim(&mut self) {
        let retained: BTreeSet<LayerId> = self.cuts.iter().map(|c| c.layer).collect();
        let max_in_flight = 50 * self.rng.below(4);
        let batch =
            self.reclaimer
                .next_batch(&self.tree, &retained, &self.leases, max_in_flight, self.now);
        self.record.numbers(
            batch
                .iter()
                .flat_map(|(l, e)| [u64::from(*l), u64::from(*e)]),
        );
        self.in_flight.extend(batch);
        let removable = self.reclaimer.removable_layers(&self.tree, &retained);
        self.record.numbers(removable.iter().map(|l| u64::from(*l)));
        for layer in removable {
            self.apply(&Change::ExtentsReclaimed {
                layer,
                extents: Vec::new(),
            });
        }
    }

    fn finish_reclaims(&mut self) {
        for (layer, extent) in std::mem::take(&mut self.in_flight) {
            match self.rng.below(4) {
                0 => self.in_flight.push((layer, extent)),
                1 => self.reclaimer.release_failed((layer, extent), self.now),
                _ => {
                    self.reclaimer.release_completed((layer, extent));
                    self.apply(&Change::ExtentsReclaimed {
                        layer,
                        extents: vec![extent],
                    });
                }
            }
        }
        self.record.number(self.reclaimer.pending_count() as u64);
    }

    fn change_names(&mut self) {
        let (branch, snapshot, name) = (self.branch(), self.snapshot(), self.name());
        let change = match (self.rng.below(10), snapshot) {
            (0, _) if self.tree.branches.len() < 5 => Change::BranchCreated {
                branch: name,
                extent_count: EXTENTS,
            },
            (1..=3, Some(snapshot)) if self.tree.branches.len() < 5 => Change::CloneCreated {
                snapshot,
                branch: name,
            },
            (4, Some(snapshot)) => Change::BranchRolledBack { branch, snapshot },
            (5 | 6, Some(snapshot)) => Change::SnapshotDeleted { snapshot },
            (7, _) if self.tree.branches.len() > 1 => Change::BranchDeleted { branch },
            (8, _) => Change::BranchCreated {
                branch: "no name".into(),
                extent_count: EXTENTS,
            },
            (9, _) => Change::HeadFrozen { branch: name },
            (_, Some(snapshot)) if self.tree.snapshots.len() > 6 => {
                Change::SnapshotDeleted { snapshot }
            }
            _ => return,
        };
        self.apply(&change);
    }

    /// A change that need not fit the tree.
    fn check_arbitrary_change(&mut self) {
        let (layer, extent) = (self.layer(), self.rng.below(u64::from(EXTENTS) + 4) as u32);
        let location = Location {
            node: self.rng.below(NODES) as u32,
            slot: self.rng.below(300) as u32,
        };
        let (branch, name) = (self.branch(), "x".to_owned());
        let change = match self.rng.below(7) {
            0 => Change::ExtentPlaced {
                layer,
                extent,
                location,
            },
            1 => Change::ExtentWritable { layer, extent },
            2 => Change::LayerClosed {
                layer,
                node: location.node,
            },
            3 => Change::ExtentsReclaimed {
                layer,
                extents: vec![extent],
            },
            4 => Change::SlotsAllocated {
                layer,
                first: location.slot,
                count: 3,
            },
            5 => Change::SnapshotCreated {
                branch,
                name,
                layer,
            },
            _ => Change::ExtentsReclaimed {
                layer: layer + 9,
                extents: Vec::new(),
            },
        };
        match self.tree.check(&change) {
            Ok(()) => self.record.number(1),
            Err(error) => self.record.change_error(&error),
        }
    }

    fn query(&mut self) {
        let (a, b) = (self.layer(), self.layer());
        let record = &mut self.record;
        record.numbers(self.tree.diff(a, b, EXTENTS).into_iter().map(u64::from));
        for (layer, nodes) in self.tree.unclosed_nodes(a) {
            record.number(layer.into());
            record.numbers(nodes.into_iter().map(u64::from));
        }
        for (layer, extents) in self.tree.unreachable_extents() {
            record.number(layer.into());
            record.numbers(extents.into_iter().map(u64::from));
        }
        record.numbers([
            self.tree.next_layer_id().into(),
            self.tree.layers_created().into(),
            self.tree.luns_assigned().into(),
        ]);
        record.numbers([
            self.tree.is_referenced(a).into(),
            self.tree.is_removable(b).into(),
        ]);
        record.numbers(self.tree.ancestors(b).map(|(id, _)| u64::from(id)));
        for (host, until) in self.leases.blocking_hosts(self.tree.version, self.now) {
            record.text(host);
            record.number(until);
        }
        record.number(self.leases.all_hosts_known(self.now).into());
        let name = self.branch();
        self.record
            .numbers(self.tree.layer_read_by(&name).map(u64::from));
        self.record
            .text(&serde_json::to_string(&self.tree).expect("plain data"));
        assert_eq!(self.tree.inconsistencies(), Vec::new());
    }

    fn step(&mut self) {
        self.now += match self.rng.below(100) {
            0 => self.rng.below(6_000),
            1..=9 => self.rng.below(400),
            _ => self.rng.below(6),
        };
        match self.rng.below(100) {
            0..40 => self.block_io(),
            40..60 => self.copy_finishes(),
            60..70 => self.receive_changes(),
            70..75 => self.renew_leases(),
            75..78 => self.close_layers(),
            78..80 => self.begin_cut(),
            80..83 => self.advance_cuts(),
            83..88 => self.step_split_write(),
            88 => self.reclaim(),
            89..91 => self.finish_reclaims(),
            91..94 => self.change_names(),
            94..96 => self.check_arbitrary_change(),
            96 => self.query(),
            97 => self.leases.remove_expired(self.now),
            98 => {
                let host = self.rng.below(HOSTS as u64) as usize;
                self.hosts[host].replica.connection_lost();
                self.connect(host);
            }
            // The catalog restarts.
            _ if self.rng.below(20) == 0 => {
                self.leases = HostLeases::new(self.now, false);
                self.reclaimer = Reclaimer::from_tree(&self.tree);
                self.in_flight.clear();
                self.cuts.clear();
            }
            _ => {}
        }
        self.make_writable();
    }
}

fn hash(seed: u64) -> u64 {
    let mut run = Run::new(seed);
    (0..STEPS).for_each(|_| run.step());
    run.query();
    run.record.0.value()
}

const RECORDED: [u64; 20] = [
    0xdfaa_1aef_ac6a_7ea9,
    0x08c7_c3e5_08eb_f10c,
    0x03af_7def_ef00_cb6f,
    0x7011_5fc1_03a8_efe7,
    0x59c7_1545_b98a_b3ce,
    0x7068_edae_8b01_7088,
    0x5243_e3d8_ad2e_6461,
    0x065d_a5d6_b545_d2e9,
    0x14a6_8e1e_9f71_cd64,
    0x4fc7_7a2c_edb7_4864,
    0x5a7e_d5f1_30ea_8691,
    0x1ae8_e57f_8878_b254,
    0xea01_06cc_2e10_ccdf,
    0x01ae_f850_8659_21e8,
    0x6fb6_4b10_9aa6_35a7,
    0x2aed_9e2c_b238_e3de,
    0x1be7_6206_2b1d_8292,
    0x6f42_c6f7_ca2c_09dd,
    0x38fc_f0aa_233c_fab9,
    0xa309_7bcf_d565_393d,
];

#[test]
fn decisions_of_twenty_seeded_runs_match() {
    let found: Vec<u64> = (1..=RECORDED.len() as u64).map(hash).collect();
    let found: Vec<String> = found.iter().map(|h| format!("{h:#018x}")).collect();
    let recorded: Vec<String> = RECORDED.iter().map(|h| format!("{h:#018x}")).collect();
    assert_eq!(found, recorded);
}

#[test]
fn constants_match() {
    assert_eq!(
        (LEASE_DURATION, LEASE_MARGIN, CUT_TIMEOUT),
        (3_000, 50, 5_000)
    );
    assert_eq!(
        (
            copy_budget::MAX_CONCURRENT_COPIES,
            copy_budget::RETRY_DELAY,
            copy_budget::FAILURE_RETENTION
        ),
        (8, 20, 5_000)
    );
    assert_eq!(
        (
            BATCH_SIZE,
            SLOT_BATCH,
            mallowseam_cow::tree_replica::RESEND_AFTER,
            TreeReplica::RECONNECT_INTERVAL
        ),
        (64, 64, 500, 200)
    );
    assert_eq!(
        (
            mallowseam_cow::tree::FIRST_LAYER_ID,
            mallowseam_cow::tree::LAST_LAYER_ID
        ),
        (1_024, 0xff_ffff)
    );
}

/// More slots are requested once fewer than 16 are left.
#[test]
fn slots_low_watermark_matches() {
    let mut cache = TreeReplica::default();
    cache.add_slots(1_024, 0, 16);
    assert!(!cache.needs_slots(1_024));
    assert_eq!(cache.take_slot(1_024), Some(0));
    assert!(cache.needs_slots(1_024) && cache.needs_slots(1_025));
}

/// Eight retries are admitted at once, then one every 250 ms, and one for every ten (and a rounding error) successes.
#[test]
fn retry_budget_matches() {
    let mut copies = CopyBudget::default();
    let begun: Vec<u64> = (1..=1_000)
        .filter(|now| copies.may_start(0, true, *now))
        .collect();
    assert_eq!(begun, [1, 2, 3, 4, 5, 6, 7, 8, 250, 500, 750, 1_000]);
    (0..10).for_each(|_| copies.record_success());
    assert!(
        !copies.may_start(0, true, 1_000),
        "ten times 0.1 is just below 1"
    );
    copies.record_success();
    assert!(copies.may_start(0, true, 1_000));
    assert!(!copies.may_start(0, true, 1_000));
    assert_eq!(copies.rejected_retries(), 990);
}

/// One call looks at 256 locations and releases 64; those that a pending cut retains go to the back of the queue.
#[test]
fn reclaim_batch_size_matches() {
    let (mut tree, mut free, leases) = (
        Tree::default(),
        Reclaimer::default(),
        HostLeases::new(0, true),
    );
    let mut apply = |tree: &mut Tree, change: Change| {
        let effects = tree.apply(&change).expect("fits");
        free.record_change(tree, &effects);
    };
    apply(
        &mut tree,
        Change::BranchCreated {
            branch: "a".into(),
            extent_count: 600,
        },
    );
    apply(
        &mut tree,
        Change::SlotsAllocated {
            layer: 1_024,
            first: 0,
            count: 600,
        },
    );
    for extent in 0..600 {
        let location = Location {
            node: 0,
            slot: extent,
        };
        apply(
            &mut tree,
            Change::ExtentPlaced {
                layer: 1_024,
                extent,
                location,
            },
        );
    }
    apply(&mut tree, Change::BranchDeleted { branch: "a".into() });
    assert_eq!(free.next_batch(&tree, &[1_024].into(), &leases, 0, 10), []);
    let extents = |batch: Vec<(LayerId, u32)>| {
        batch
            .into_iter()
            .map(|(_, extent)| extent)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        extents(free.next_batch(&tree, &BTreeSet::new(), &leases, 0, 10)),
        (256..320).collect::<Vec<_>>()
    );
    assert_eq!(
        extents(free.next_batch(&tree, &BTreeSet::new(), &leases, 0, 10)),
        Vec::<u32>::new()
    );
    (256..266).for_each(|extent| free.release_completed((1_024, extent)));
    assert_eq!(
        extents(free.next_batch(&tree, &BTreeSet::new(), &leases, 0, 10)),
        (320..330).collect::<Vec<_>>()
    );
    assert_eq!(free.pending_count(), 590);
}
