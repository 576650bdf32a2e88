//! Guards against unintended changes of decisions. All decisions of the copy-on-write logic in seeded runs of a catalog
//! with its hosts are reduced to one hash per seed, and compared with the hashes that an earlier version of the code
//! gave. A hash that differs means that a decision, a constant, an error text or the order of results has changed.
//!
//! Trees and changes enter the hash as the JSON that is stored and sent. Decisions enter it as codes of this file, so
//! that names in the code can change.
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

/// A digest of decisions, as values of eight bytes and as texts with their lengths.
struct DecisionDigest(Digest);

impl DecisionDigest {
    fn add_number(&mut self, value: u64) {
        self.0.add(value);
    }

    fn add_numbers(&mut self, values: impl IntoIterator<Item = u64>) {
        let values: Vec<u64> = values.into_iter().collect();
        self.add_number(values.len() as u64);
        for value in values {
            self.add_number(value);
        }
    }

    fn add_text(&mut self, text: &str) {
        self.add_number(text.len() as u64);
        self.0.add_bytes(text.as_bytes());
    }

    fn add_location(&mut self, layer: LayerId, location: Location) {
        self.add_numbers([layer.into(), location.node.into(), location.slot.into()]);
    }

    fn add_change_error(&mut self, error: &ChangeError) {
        self.add_number(99);
        self.add_text(&error.to_string());
    }

    fn add_lookup(&mut self, lookup: Lookup) {
        match lookup {
            Lookup::Found(layer, location) => {
                self.add_number(1);
                self.add_location(layer, location);
            }
            Lookup::Zeros => self.add_number(2),
            Lookup::CopyFirst { into, from } => {
                self.add_numbers([3, into.into()]);
                if let Some((layer, location)) = from {
                    self.add_location(layer, location);
                }
            }
            Lookup::Blocked => self.add_number(4),
            Lookup::NoLease => self.add_number(5),
            Lookup::UnknownName => self.add_number(6),
        }
    }

    fn add_cut_failure(&mut self, failure: &CutFailure) {
        match failure {
            CutFailure::Rejected(error) => {
                self.add_number(1);
                self.add_text(&error.to_string());
            }
            CutFailure::NodesNotClosed(nodes) => {
                self.add_number(2);
                self.add_numbers(nodes.iter().map(|n| u64::from(*n)));
            }
            CutFailure::HostsNotQuiesced(hosts) => {
                self.add_number(3);
                for host in hosts {
                    self.add_text(host);
                }
            }
        }
    }
}

/// A simulated host.
struct Host {
    name: String,
    replica: TreeReplica,
    budget: CopyBudget,
    split_write: SplitWrite,
    /// Changes that the catalog has sent and the host has not received yet.
    inbox: VecDeque<(u64, Change)>,
    copies: Vec<ExtentCopy>,
}

/// A copy of an extent into a layer, in flight or failed.
struct ExtentCopy {
    layer: LayerId,
    extent: u32,
    has_failed: bool,
}

/// A simulated catalog with its hosts, driven by a seed.
struct Simulation {
    rng: SeededRng,
    digest: DecisionDigest,
    now: u64,
    tree: Tree,
    leases: HostLeases,
    reclaimer: Reclaimer,
    cuts: Vec<ConsistentCut>,
    hosts: Vec<Host>,
    /// Version, layer and extent of locations that are not writable yet.
    awaiting_writable: Vec<(u64, LayerId, u32)>,
    /// Releases in flight.
    in_flight: Vec<(LayerId, u32)>,
    names_created: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let host = |n: usize| Host {
            name: format!("h{n}"),
            replica: TreeReplica::default(),
            budget: CopyBudget::default(),
            split_write: SplitWrite::default(),
            inbox: VecDeque::new(),
            copies: Vec::new(),
        };
        let mut simulation = Simulation {
            rng: SeededRng::new(seed),
            digest: DecisionDigest(Digest::default()),
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
        simulation.apply(&Change::BranchCreated {
            branch: "a".into(),
            extent_count: EXTENTS,
        });
        (0..HOSTS).for_each(|host| simulation.connect(host));
        simulation
    }

    /// Applies a change if the tree allows it, and sends it to the hosts. Returns whether it was applied.
    fn apply(&mut self, change: &Change) -> bool {
        self.digest
            .add_text(&serde_json::to_string(change).expect("value is JSON"));
        let effects = match self.tree.apply(change) {
            Ok(effects) => effects,
            Err(error) => {
                self.digest.add_change_error(&error);
                return false;
            }
        };
        let digest = &mut self.digest;
        digest.add_number(self.tree.version);
        digest.add_numbers(effects.layers.iter().map(|l| u64::from(*l)));
        digest.add_numbers(
            effects
                .locations
                .iter()
                .flat_map(|(l, e)| [u64::from(*l), u64::from(*e)]),
        );
        effects
            .branches
            .iter()
            .chain(&effects.snapshots)
            .for_each(|n| digest.add_text(n));
        digest.add_numbers(effects.dereferenced.map(u64::from));
        digest.add_numbers(
            effects
                .placed
                .into_iter()
                .flat_map(|(l, e)| [u64::from(l), u64::from(e)]),
        );
        digest.add_numbers(
            self.tree
                .newly_unreachable(&effects)
                .into_iter()
                .flat_map(|(l, e)| [u64::from(l), u64::from(e)]),
        );
        self.reclaimer.record_change(&self.tree, &effects);
        let version = self.tree.version;
        self.hosts
            .iter_mut()
            .for_each(|host| host.inbox.push_back((version, change.clone())));
        true
    }

    /// Sends the full tree to a host.
    fn connect(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        self.digest.add_numbers(
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
            self.digest.add_number(valid.into());
        }
        host.inbox.clear();
    }

    fn random_branch(&mut self) -> String {
        let names: Vec<String> = self.tree.branches.keys().cloned().collect();
        self.rng.choose(&names).cloned().unwrap_or_default()
    }

    fn random_snapshot(&mut self) -> Option<String> {
        let names: Vec<String> = self.tree.snapshots.keys().cloned().collect();
        self.rng.choose(&names).cloned()
    }

    fn random_layer(&mut self) -> LayerId {
        let layers: Vec<LayerId> = self.tree.layers.keys().copied().collect();
        self.rng.choose(&layers).copied().unwrap_or_default()
    }

    fn new_name(&mut self) -> String {
        self.names_created += 1;
        format!("n{}", self.names_created)
    }

    /// Looks up where a block I/O goes, and starts a copy of its extent where one is needed.
    fn block_io(&mut self) {
        let name = match self.rng.below(8) {
            0 => self.random_snapshot().unwrap_or_else(|| "nobody".into()),
            _ => self.random_branch(),
        };
        let (host_index, extent) = (
            self.rng.below(HOSTS as u64) as usize,
            self.rng.below(EXTENTS.into()) as u32,
        );
        let write = self.rng.below(3) > 0;
        let host = &mut self.hosts[host_index];
        let lookup = host.replica.look_up(&name, extent, write, self.now);
        self.digest.add_lookup(lookup);
        self.digest
            .add_number(host.replica.has_lease(self.now).into());
        let Lookup::CopyFirst { into, .. } = lookup else {
            return;
        };
        let is_retry = host
            .copies
            .iter()
            .any(|c| c.layer == into && c.extent == extent && c.has_failed);
        let starts = host.budget.may_start(host.copies.len(), is_retry, self.now);
        self.digest
            .add_numbers([starts.into(), host.budget.rejected_retries()]);
        if starts && !is_retry {
            host.copies.push(ExtentCopy {
                layer: into,
                extent,
                has_failed: false,
            });
        }
        if host.replica.needs_slots(into) {
            self.digest.add_number(8);
            let first = self.tree.layers.get(&into).map_or(0, |l| l.next_slot);
            if self.apply(&Change::SlotsAllocated {
                layer: into,
                first,
                count: SLOT_BATCH,
            }) {
                self.hosts[host_index]
                    .replica
                    .add_slots(into, first, SLOT_BATCH);
            }
        }
    }

    /// Lets a copy of a host succeed, at a location of its own, or fail.
    fn finish_copy(&mut self) {
        let host_index = self.rng.below(HOSTS as u64) as usize;
        let succeeds = self.rng.below(4) > 0;
        let host = &mut self.hosts[host_index];
        if host.copies.is_empty() {
            return;
        }
        let index = self.rng.below(host.copies.len() as u64) as usize;
        if !succeeds {
            host.copies[index].has_failed = true;
            return;
        }
        let ExtentCopy { layer, extent, .. } = host.copies.remove(index);
        host.budget.record_success();
        let slot = host.replica.take_slot(layer);
        self.digest.add_numbers(slot.map(u64::from));
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
            Ok(Some(first)) => self.digest.add_location(layer, first),
            Err(error) => self.digest.add_change_error(&error),
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

    /// Lets a host apply some of the changes that it has not received yet.
    fn receive_changes(&mut self) {
        let host_index = self.rng.below(HOSTS as u64) as usize;
        let count = self.rng.below(12);
        for _ in 0..count {
            let host = &mut self.hosts[host_index];
            let Some((version, change)) = host.inbox.pop_front() else {
                return;
            };
            let follows = host.replica.apply_change(version, &change);
            self.digest.add_number(follows.into());
            if !follows {
                host.replica.invalidate();
                return self.connect(host_index);
            }
            self.leases
                .acknowledge(&host.name, host.replica.version().unwrap_or(0));
        }
    }

    fn renew_leases(&mut self) {
        for host in &mut self.hosts {
            let due = host.replica.renewal_due(self.now);
            self.digest.add_number(due.into());
            if due && self.rng.below(8) > 0 {
                let version = host.replica.version().unwrap_or(0);
                let duration = self.leases.renew(&host.name, version, self.now);
                self.digest.add_number(duration);
                host.replica.lease_granted(self.now, duration);
            }
        }
    }

    fn close_layers(&mut self) {
        let due: Vec<(LayerId, u32)> = self.tree.pending_closes().collect();
        self.digest
            .add_numbers(due.iter().flat_map(|(l, n)| [u64::from(*l), u64::from(*n)]));
        for (layer, node) in due {
            if self.rng.below(3) > 0 {
                self.apply(&Change::LayerClosed { layer, node });
            }
        }
    }

    fn begin_cut(&mut self) {
        let branch = self.random_branch();
        let name = if self.rng.below(12) == 0 {
            "twice".into()
        } else {
            self.new_name()
        };
        let hosts = self.leases.active_hosts(self.now);
        match ConsistentCut::begin(&self.tree, &branch, &name, hosts, self.now) {
            Ok((change, cut)) => {
                self.digest.add_number(cut.layer.into());
                if self.apply(&change) {
                    self.cuts.push(cut);
                }
            }
            Err(failure) => self.digest.add_cut_failure(&failure),
        }
    }

    fn advance_cuts(&mut self) {
        for mut cut in std::mem::take(&mut self.cuts) {
            for host in 0..HOSTS {
                if self.rng.below(3) == 0 {
                    cut.host_quiesced(cut.layer, &format!("h{host}"));
                }
            }
            let active_hosts = self.leases.active_hosts(self.now);
            self.digest
                .add_number(cut.unquiesced_hosts(&active_hosts).len() as u64);
            match cut.progress(&self.tree, self.now) {
                CutProgress::Wait => {
                    self.digest.add_number(1);
                    self.cuts.push(cut);
                }
                CutProgress::Restart => {
                    self.digest.add_number(2);
                    if let Some(change) = cut.restart(&self.tree, active_hosts) {
                        self.apply(&change);
                    }
                    self.cuts.push(cut);
                }
                CutProgress::Grant(change) => {
                    self.digest.add_number(3);
                    self.apply(&change);
                }
                CutProgress::Fail(failure) => self.digest.add_cut_failure(&failure),
            }
        }
    }

    /// Advances a split write of a host by one step.
    fn step_split_write(&mut self) {
        let host_index = self.rng.below(HOSTS as u64) as usize;
        let branch = self.random_branch();
        let (head, other) = (self.tree.branches[&branch].head, self.random_layer());
        let now = self.now;
        let host = &mut self.hosts[host_index];
        match self.rng.below(4) {
            0 => host.split_write.part_completed(head),
            1 => host.split_write = SplitWrite::default(),
            _ => {
                let in_flight_elsewhere = self.rng.below(5) == 0;
                match host.split_write.admit(head, in_flight_elsewhere, now) {
                    PartAdmission::Send => self.digest.add_number(1),
                    PartAdmission::Wait => self.digest.add_number(2),
                    PartAdmission::Reject => self.digest.add_number(3),
                    PartAdmission::RequestPermission(layer) => {
                        self.digest.add_numbers([4, layer.into()]);
                        let decision = decide_completion(&self.tree, layer);
                        let granted = decision
                            .as_ref()
                            .is_some_and(|decision| decision.is_granted);
                        let frozen_layers = decision
                            .map(|decision| decision.frozen_layers)
                            .unwrap_or_default();
                        self.digest.add_number(granted.into());
                        self.digest
                            .add_numbers(frozen_layers.iter().map(|l| u64::from(*l)));
                        if granted {
                            self.cuts
                                .iter_mut()
                                .filter(|c| frozen_layers.contains(&c.layer))
                                .for_each(ConsistentCut::mark_stale);
                        }
                        if self.rng.below(3) > 0 {
                            self.hosts[host_index]
                                .split_write
                                .permission_decided(layer, granted);
                        }
                    }
                }
            }
        }
        self.digest.add_number(
            self.hosts[host_index]
                .split_write
                .started_in_or_before(other)
                .into(),
        );
    }

    fn reclaim(&mut self) {
        let retained: BTreeSet<LayerId> = self.cuts.iter().map(|c| c.layer).collect();
        let max_in_flight = 50 * self.rng.below(4);
        let batch =
            self.reclaimer
                .next_batch(&self.tree, &retained, &self.leases, max_in_flight, self.now);
        self.digest.add_numbers(
            batch
                .iter()
                .flat_map(|(l, e)| [u64::from(*l), u64::from(*e)]),
        );
        self.in_flight.extend(batch);
        let removable = self.reclaimer.removable_layers(&self.tree, &retained);
        self.digest
            .add_numbers(removable.iter().map(|l| u64::from(*l)));
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
        self.digest
            .add_number(self.reclaimer.pending_count() as u64);
    }

    fn change_names(&mut self) {
        let (branch, snapshot, name) = (
            self.random_branch(),
            self.random_snapshot(),
            self.new_name(),
        );
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

    /// Checks a random change, which need not fit the tree.
    fn check_arbitrary_change(&mut self) {
        let (layer, extent) = (
            self.random_layer(),
            self.rng.below(u64::from(EXTENTS) + 4) as u32,
        );
        let location = Location {
            node: self.rng.below(NODES) as u32,
            slot: self.rng.below(300) as u32,
        };
        let (branch, name) = (self.random_branch(), "x".to_owned());
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
            Ok(()) => self.digest.add_number(1),
            Err(error) => self.digest.add_change_error(&error),
        }
    }

    fn query(&mut self) {
        let (a, b) = (self.random_layer(), self.random_layer());
        let digest = &mut self.digest;
        digest.add_numbers(self.tree.diff(a, b, EXTENTS).into_iter().map(u64::from));
        for (layer, nodes) in self.tree.unclosed_nodes(a) {
            digest.add_number(layer.into());
            digest.add_numbers(nodes.into_iter().map(u64::from));
        }
        for (layer, extents) in self.tree.unreachable_extents() {
            digest.add_number(layer.into());
            digest.add_numbers(extents.into_iter().map(u64::from));
        }
        digest.add_numbers([
            self.tree.next_layer_id().into(),
            self.tree.layers_created().into(),
            self.tree.luns_assigned().into(),
        ]);
        digest.add_numbers([
            self.tree.is_referenced(a).into(),
            self.tree.is_removable(b).into(),
        ]);
        digest.add_numbers(self.tree.ancestors(b).map(|(id, _)| u64::from(id)));
        for (host, until) in self.leases.blocking_hosts(self.tree.version, self.now) {
            digest.add_text(host);
            digest.add_number(until);
        }
        digest.add_number(self.leases.all_hosts_known(self.now).into());
        let name = self.random_branch();
        self.digest
            .add_numbers(self.tree.layer_read_by(&name).map(u64::from));
        self.digest
            .add_text(&serde_json::to_string(&self.tree).expect("value is JSON"));
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
            40..60 => self.finish_copy(),
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

fn decision_hash(seed: u64) -> u64 {
    let mut simulation = Simulation::new(seed);
    (0..STEPS).for_each(|_| simulation.step());
    simulation.query();
    simulation.digest.0.value()
}

const RECORDED_HASHES: [u64; 20] = [
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
fn decisions_of_twenty_seeded_runs_match_the_recorded_hashes() {
    let found: Vec<u64> = (1..=RECORDED_HASHES.len() as u64)
        .map(decision_hash)
        .collect();
    let found: Vec<String> = found.iter().map(|h| format!("{h:#018x}")).collect();
    let recorded: Vec<String> = RECORDED_HASHES
        .iter()
        .map(|h| format!("{h:#018x}"))
        .collect();
    assert_eq!(found, recorded);
}

#[test]
fn constants_are_unchanged() {
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
fn more_slots_are_needed_below_sixteen() {
    let mut replica = TreeReplica::default();
    replica.add_slots(1_024, 0, 16);
    assert!(!replica.needs_slots(1_024));
    assert_eq!(replica.take_slot(1_024), Some(0));
    assert!(replica.needs_slots(1_024) && replica.needs_slots(1_025));
}

/// Eight retries are admitted at once, then one every 250 ms, and one for every ten successes. Because of a rounding
/// error the first one takes eleven successes.
#[test]
fn retry_budget_admits_eight_then_one_per_interval_or_ten_successes() {
    let mut budget = CopyBudget::default();
    let admitted_at: Vec<u64> = (1..=1_000)
        .filter(|now| budget.may_start(0, true, *now))
        .collect();
    assert_eq!(admitted_at, [1, 2, 3, 4, 5, 6, 7, 8, 250, 500, 750, 1_000]);
    (0..10).for_each(|_| budget.record_success());
    assert!(
        !budget.may_start(0, true, 1_000),
        "the sum of ten times 0.1 is just below 1"
    );
    budget.record_success();
    assert!(budget.may_start(0, true, 1_000));
    assert!(!budget.may_start(0, true, 1_000));
    assert_eq!(budget.rejected_retries(), 990);
}

/// One call examines 256 locations and releases 64. Locations that a pending cut retains go to the back of the queue.
#[test]
fn reclaimer_examines_256_locations_and_releases_64_per_call() {
    let (mut tree, mut reclaimer, leases) = (
        Tree::default(),
        Reclaimer::default(),
        HostLeases::new(0, true),
    );
    let mut apply = |tree: &mut Tree, change: Change| {
        let effects = tree.apply(&change).expect("change fits the tree");
        reclaimer.record_change(tree, &effects);
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
    assert_eq!(
        reclaimer.next_batch(&tree, &[1_024].into(), &leases, 0, 10),
        []
    );
    let extents = |batch: Vec<(LayerId, u32)>| {
        batch
            .into_iter()
            .map(|(_, extent)| extent)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        extents(reclaimer.next_batch(&tree, &BTreeSet::new(), &leases, 0, 10)),
        (256..320).collect::<Vec<_>>()
    );
    assert_eq!(
        extents(reclaimer.next_batch(&tree, &BTreeSet::new(), &leases, 0, 10)),
        Vec::<u32>::new()
    );
    (256..266).for_each(|extent| reclaimer.release_completed((1_024, extent)));
    assert_eq!(
        extents(reclaimer.next_batch(&tree, &BTreeSet::new(), &leases, 0, 10)),
        (320..330).collect::<Vec<_>>()
    );
    assert_eq!(reclaimer.pending_count(), 590);
}
