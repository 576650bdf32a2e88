//! The decisions of mallowseam: which block I/O goes to its storage node, when, and which is turned away.
//!
//! Make a `Scheduler` with the deployment's `SchedulerConfig`, then call its `on_*` methods
//! as things happen, each with the time and the `Host` that carries the answers out.
//! Host, terms and index types are in `interface.rs`; `docs/design.md` tells what is kept of the paper.

use crate::interface::*;
use crate::ledger::Ledger;
use crate::pcg::Pcg;
use crate::slab::Slab;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SECOND: f64 = 10_000.0; // ticks in a second
const WINDOW: Tick = 1_000; // ticks: the design's window of 0.1 s
const ALPHA: f64 = 0.5; // share of history an idle volume keeps (design)
const THROTTLE_WT: f64 = 2.0; // a held unit counts as two used: more will follow (design)
const POOL: f64 = 0.05; // share of a node's budget kept for volumes that return (design)
const BUDGET_START: f64 = 4.0; // mean block I/Os a window beyond the bases seen (design)
const BUDGET_STEP: f64 = 0.05; // growth of the budget a window: doubles in 1.5 s
const MULT_UP: f64 = 1.15; // a block I/O in four is beyond twice the median by chance alone,
const MULT_DOWN: f64 = 0.955; // so that these two cancel out on a steady node
const MULT_RANGE: (f64, f64) = (0.25, 4.0); // bounds of the delay multiplier (design)
const RECENT: usize = 32; // answers in a node's median: about a second's worth
const WT_MAX: f64 = 32.0; // submits out at one node, at most (design)
const WT_START: f64 = 4.0; // submits out at a node not yet known, over all hosts and beyond one each
const WIDEN_BELOW: f64 = 0.24; // of the shortest latency goal: a wait below it leaves room at the node
const NARROW_ABOVE: f64 = 0.32; // of the same: the rest of the goal is for what waits here
const WIDEN: f64 = 0.05; // submits that a full window gains by a round of quick answers
const NARROW: f64 = 0.1; // part of the window that a round of slow answers, or a failure, takes away
const WT_LEAST: f64 = 0.1; // at a node crowded by many hosts, one submit in ten of its waits
const TRY_AGAIN: Tick = 100; // ticks: pause after a second failure in a row, doubled by each further one
const TRY_MOST: f64 = 3_000.0; // ticks: longest such pause, times the root of the hosts, who all try
const FADE: f64 = 0.90; // what a window without submits leaves of the mean wait: half after 0.7 s
const LOSING: Tick = 50_000; // ticks: how long one lost answer makes us look out for others
const LOST: f64 = 4.0; // mean waits after which a submit out counts as lost: few honest ones take that long
const LOST_GOAL: f64 = 0.5; // of the shortest latency goal, at least: pauses of a node are no loss
const LAT_STEP: f64 = 0.15; // weight of one answer in a node's mean wait
const HEARD_KEPT: f64 = 0.9; // a window, of the answers that a mean wait goes by: about the last second's
const PRICE_SPAN: f64 = 0.4; // of the shortest goal: the mean wait that takes a price from nothing to one
const COLD_SAFE: f64 = 0.8; // of what makes a cold node fall; the rest is for surges and for chance
const COLD_UNUSED: f64 = 0.5; // of that, for a host with no rate there: demand may be twice what a node does
const WARM_PRIOR: f64 = 4.0; // block I/Os: what a host must be asked at warm nodes to know better than that
const WARM_KEPT: f64 = 0.99; // a window, of what it was asked there: the last ten seconds'
const RATE_STEP: f64 = 0.01; // weight of one window in what a host sends to a node: ten seconds' worth
const LAT_ALL: f64 = 0.05; // weight of one answer in the mean wait over all nodes
const BEST_RISES: f64 = 1.0005; // an answer, of the least mean over all nodes: a tenth in a minute
const PRICE_FROM: f64 = 0.08; // of the shortest goal: what a node's mean wait may lie above the best
const UNANSWERED: f64 = 0.4; // weight of a submit without an answer in the mean wait: it may be lost as well
const NEVER_LATE: f64 = 0.9; // of the shortest goal: the most of a mean over all nodes, so that new ones go
const UNANSWERED_AS: f64 = 3.0; // mean waits of all nodes, at most: one lost answer shuts no quick node
const DEARER: f64 = 0.1; // price that a late answer adds over all nodes, and an answer in time takes off:
const CHEAPER: f64 = 0.008; // it settles where one answer in thirteen is late
const PRICE_MOST: f64 = 0.9; // of the mean gain in full: what earns that may always go
const SHORT: Tick = 30_000; // ticks: how long a store that was short serves only the group of most gain
const OTHERS_STEP: f64 = 0.1; // weight of one window in the others' rate: about a second's worth
const SAME_LIMIT: Tick = 5; // ticks: a retry's hard limit differs from the first one's at most by the way
const LAST_CALL: Tick = 60; // ticks: margin before the hard limit for one tick of the host and the way back
const RETURN_SPREAD: u64 = 3_000; // ticks: a node that came back meets its hosts spread over this
const ASK_FIRST: Tick = 2_000; // ticks: hosts that start together ask the list spread over this, at least
const ASK_TURN: Tick = 300; // ticks: what a call may take of the list service, where no one says it
const ASK_MOST: Tick = 10_000; // ticks: the longest wait between failed calls of few hosts
const ASK_PART: f64 = 0.8; // of the time that a host may go without asking: the rest is for the call
const ASK_BACK: Tick = 46_000; // ticks: from a failed call to the next, at most: 1.2 s for that one, of 6 s
const ASK_FITS: Tick = 54_000; // ticks of calls: where more are known to come, not all are served in 6 s
const ASK_SILENT: Tick = 16_000; // ticks: what silence leaves: 3.2 s to notice, 1.2 s for the call, of 6 s
const ASK_MOVED: Tick = 20_000; // ticks: hosts that hear of another service ask it spread over this at most
const IDLE_VOLUME: Tick = 100_000; // ticks: a volume unseen this long is forgotten, once its store is full
const GONE_NODE: Tick = 600_000; // ticks: a node closed this long is forgotten; past outages and hard limits

/// A plan, as far as decisions go: rates are one host's, per tick, for a volume on one host.
struct Plan {
    reserve: f64,
    limit: f64,
    burst: f64,
    wt: f64,
    price: f64,
}

struct IoClass {
    effect: Idempotency,
    goal: Tick,
    gain: f64,
    lacks: f64,
    ordered: bool,
    submits: u32,
}

#[derive(Default)]
struct Cold {
    part: f64,
    of_rate: f64,
    from: f64,
    span: Tick,
    fall: Tick,
}

#[derive(Default)]
struct Volume {
    plan: usize,
    hosts: f64,
    store: f64,
    reserve: f64,
    filled: Tick,
    seen: Tick,
    in_hand: u32,
    short: Tick,
    told: f64,
    others: Option<f64>,
    part: Option<f64>,
}

/// One volume at one node: the design's allocation.
#[derive(Default)]
struct Share {
    vol: VolumeId,
    alloc: f64,
    used: f64,
    held: f64,
    hist: f64,
    burst: bool,
    passed: u64,
}

#[derive(Default)]
struct Node {
    shard: u32,
    zone: u32,
    open: bool,
    closed: Option<Tick>,
    came_up: Tick,
    first_ok: Tick,
    sent: Ledger,
    units: f64,
    rate: f64,
    cold_turn: Tick,
    cold_luck: f64,
    out: Vec<(Tick, BioId)>,
    answered: Tick,
    heard: f64,
    failures: u32,
    wt: f64,
    mult: f64,
    recent: [f64; RECENT],
    answers: usize,
    median: f64,
    lat: f64,
    extra: f64,
    pool: f64,
    held: Vec<BioId>,
    shares: Vec<Share>,
}

/// What a block I/O does with the outcome of its submit; once over, it only gives back its place.
type Step = fn(&mut Scheduler, &mut dyn Host, Tick, BioId, &AttemptOutcome);

#[derive(Clone, Copy, Default)]
struct Slot {
    bio: Bio,
    node: Option<NodeId>,
    goal: Tick,
    half: Tick,
    submits: u32,
    out: bool,
    over: bool,
    drew: bool,
    ran: Option<(Tick, NodeId)>,
    next_of_key: Option<BioId>,
    step: Option<Step>,
}

/// A key in use: the first of its ordered block I/Os, all that name it, and until when it rests.
#[derive(Clone, Copy, Default)]
struct Key {
    head: Option<BioId>,
    users: u32,
    rest: Tick,
}

impl Node {
    /// The place of a volume's share; each volume with a block I/O here has one.
    fn share(&self, vol: VolumeId) -> usize {
        self.shares.iter().position(|s| s.vol == vol).expect("placed")
    }

    /// Whether it has long been up, or started so long ago that it does all it can.
    fn warm(&self, now: Tick, span: Tick) -> bool {
        self.came_up == 0 || now > self.came_up + span
    }

    /// How long a submit may take here before it counts as lost.
    fn patience(&self, goal: f64) -> Tick {
        (self.lat * LOST).max(goal * LOST_GOAL) as Tick
    }

    /// Whether what is sent now is likely to miss its goal.
    fn late(&self, now: Tick, goal: Tick) -> bool {
        now + self.lat as Tick > goal
    }

    /// Submits out that may still be answered; where answers get lost, the lost ones take no room.
    fn waiting(&self, now: Tick, goal: f64, losing: bool) -> u32 {
        self.out.iter().filter(|o| !losing || now - o.0 <= self.patience(goal)).count() as u32
    }
}

impl Slot {
    /// Until when it may be held. Whoever hears in its first half that nothing was tried can go elsewhere;
    /// later, a client with little time has waited for nothing. Hurts where room comes only just in time.
    fn held_until(&self) -> Tick {
        if self.submits == 0 { self.goal.min(self.half) } else { self.goal }
    }
}

impl Plan {
    fn of(p: &crate::interface::Plan) -> Self {
        Plan {
            reserve: p.reserved_rate / SECOND,
            limit: if p.rate_limit > 0.0 { p.rate_limit / SECOND } else { f64::INFINITY },
            burst: p.burst_units,
            wt: if p.weight > 0.0 { p.weight } else { 1.0 },
            price: p.priority_factor,
        }
    }
}

impl Volume {
    /// This host's part of the limit: the even one where none is dealt.
    fn limit(&self, plan: &Plan) -> f64 {
        self.part.unwrap_or(plan.limit / self.hosts)
    }

    /// Lets the parts that fall to one host fill up: of the limit, and of the reserve with a second of it.
    fn fill(&mut self, now: Tick, plan: &Plan, largest: f64) {
        let span = (now - self.filled) as f64;
        self.filled = now;
        self.store = (self.store + span * self.limit(plan)).min(plan.burst / self.hosts);
        let most = plan.reserve * SECOND + largest;
        self.reserve = (self.reserve + span * plan.reserve).min(most);
    }
}

/// The scheduler of one host: queues, budgets, and what is known of nodes and volumes.
#[derive(Default)]
pub struct Scheduler {
    plans: Vec<Plan>,
    groups: Vec<IoClass>,
    mean_units: f64,
    largest: f64,
    share_gain: f64,
    spare_gain: f64,
    short_goal: f64,
    usual_gain: f64,
    hosts: u32,
    others: f64,
    wt_start: f64,
    try_most: Tick,
    cold: Cold,
    budget: (f64, f64, Tick),
    order_rest: Tick,
    may_cancel: bool,
    return_after: Tick,
    counts_others: bool,
    word_by_half: bool,
    pcg: Pcg,
    born: Tick,
    nodes: Slab<Node>,
    volumes: Slab<Volume>,
    parts: Slab<f64>,
    keys: Slab<Key>,
    resting: Vec<KeyId>,
    slots: Slab<Slot>,
    taken: Ledger,
    further: Ledger,
    turned: Vec<(Tick, VolumeId, Tick)>,
    alarms: BinaryHeap<Reverse<(Tick, BioId)>>,
    next_window: Tick,
    ask_at: Tick,
    /// When the call was made that nothing was heard of since.
    asked: Option<Tick>,
    ask_span: Tick,
    ask_back: Tick,
    ask_wait: Tick,
    silent: bool,
    waking: Tick,
    losing: Tick,
    lat: f64,
    best: f64,
    price: f64,
    pumps: u64,
    /// Block I/Os that warm nodes were sent, and those that were asked of them.
    warm: (f64, f64),
}

impl Scheduler {
    /// A scheduler that starts at `now`, with no node known. The seed decides all that it draws at random.
    pub fn new(config: &SchedulerConfig, seed: u64, now: Tick) -> Self {
        let hosts = f64::from(config.hosts.max(1));
        let mean_price =
            config.plans.iter().map(|p| p.priority_factor).sum::<f64>() / config.plans.len().max(1) as f64;
        let mean_gain = config.classes.iter().map(|g| g.priority_weight).sum::<f64>()
            / config.classes.len().max(1) as f64;
        let most_gain = config.classes.iter().map(|g| g.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        let group = |g: &crate::interface::IoClass| IoClass {
            effect: g.idempotency,
            goal: g.latency_objective,
            gain: g.priority_weight,
            lacks: 1.0 - g.priority_weight / most_gain,
            ordered: g.ordered,
            // Further submits go by gain: a block I/O of less than the mean gain gets one fewer.
            submits: if g.priority_weight < mean_gain {
                config.max_attempts.min(2)
            } else {
                config.max_attempts
            }
            .max(1),
        };
        let short_goal =
            config.classes.iter().map(|g| g.latency_objective).min().unwrap_or(WINDOW).max(1) as f64;
        let mut pcg = Pcg::new(seed);
        // All hosts together ask no more than the list service handles, whoever else starts or lost it, as
        // far as the rule on drains lets them wait: it holds them to what they would have been told, and to
        // all that the service had while it could be reached, 6 s later. A crowd is of use only where nobody
        // says that the service is too slow for so many: then it may be quicker.
        let part =
            if config.max_poll_delay > 0 { ASK_PART * config.max_poll_delay as f64 } else { f64::INFINITY };
        let may_wait = if config.endpoints_pushed { ASK_FIRST } else { part as Tick };
        let turns = config.poll_service_time.unwrap_or(ASK_TURN) * Tick::from(config.hosts);
        let ask_back = if config.poll_service_time.is_some() && turns > ASK_FITS { turns } else { ASK_BACK };
        let ask_span = turns.min(may_wait).min(ask_back).max(ASK_FIRST);
        let first = pcg.below(ask_span as u64) as Tick;
        let ask_at = if config.endpoints_polled { now + first } else { Tick::MAX };
        Scheduler {
            plans: config.plans.iter().map(Plan::of).collect(),
            groups: config.classes.iter().map(group).collect(),
            mean_units: if config.mean_io_units > 0.0 { config.mean_io_units } else { 1.0 },
            largest: config.max_io_units.max(1.0),
            share_gain: config.share_weight_factor,
            spare_gain: config.spare_weight_factor,
            hosts: if config.hosts > 0 { config.hosts } else { u32::MAX },
            others: 1.0 - 1.0 / hosts.sqrt(),
            wt_start: 1.0 + WT_START / hosts,
            try_most: (TRY_MOST * hosts.sqrt()) as Tick,
            usual_gain: (mean_gain * mean_price).max(f64::MIN_POSITIVE),
            short_goal,
            cold: Cold {
                part: config.slow_start_capacity / hosts,
                of_rate: COLD_SAFE
                    * config.overload_multiple
                    * config.slow_start_initial_rate
                    * config.overload_window as f64,
                from: config.slow_start_initial_rate.clamp(0.01, 1.0),
                span: config.slow_start_duration,
                fall: config.overload_window,
            },
            budget: (config.retry_budget_min, config.retry_budget_ratio, config.retry_budget_window),
            order_rest: config.ordering_cooldown,
            may_cancel: config.allow_cancel,
            return_after: if config.allow_retry_after { config.max_retry_after.min(WINDOW) } else { 0 },
            counts_others: config.other_hosts_usage_reported,
            word_by_half: config.shed_at_half_deadline,
            pcg,
            born: now,
            next_window: now + WINDOW,
            ask_at,
            ask_span,
            ask_back,
            ask_wait: ask_span,
            waking: Tick::MAX,
            losing: now,
            lat: WIDEN_BELOW * short_goal,
            best: WIDEN_BELOW * short_goal,
            ..Scheduler::default()
        }
    }

    /// The node list spoke.
    pub fn on_endpoints(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        form: EndpointEvent,
        entries: &[NodeEndpoint],
    ) {
        if form == EndpointEvent::PollFailed || form == EndpointEvent::WatchSilent {
            // A failed call does not say whether a watch stands. Who had one lost it with all others, and
            // draws its place among them; later calls keep it: all have asked within a span of its return.
            // Of silence the first one: a service that takes calls and says nothing is not asked ever again.
            let silent = form == EndpointEvent::WatchSilent && !std::mem::replace(&mut self.silent, true);
            let most = if silent { ASK_SILENT } else { Tick::MAX };
            let drawn = self.pcg.below(self.ask_span.min(most) as u64) as Tick;
            let wait = if silent || self.ask_wait == 0 { drawn } else { self.ask_wait };
            // The service may have been back just after that call: the time that it took is not had again.
            let latest = self.asked.map_or(Tick::MAX, |asked| (asked + self.ask_back).max(now + 1));
            // A call that is due sooner, to another service or after silence, is not put off.
            self.ask_at = self.ask_at.min(now + wait).min(latest);
            self.ask_wait = (self.ask_wait * 2).clamp(self.ask_span, self.ask_span.max(ASK_MOST));
            return self.sleep(host, now);
        }
        if form != EndpointEvent::Cached {
            (self.asked, self.ask_wait, self.silent) = (None, 0, false);
        }
        if form != EndpointEvent::Incremental {
            self.nodes.iter_mut().for_each(|n| n.open = false);
        }
        for e in entries {
            let spread = self.pcg.below(RETURN_SPREAD) as Tick;
            // A node that replaces another holds its shard, and what this host sends there goes on.
            let kin = self.nodes.iter().filter(|(_, n)| n.shard == e.shard).map(|(_, n)| n.rate);
            let rate = kin.fold(0.0, f64::max);
            let node = self.nodes.enter(e.node.0, Node::default);
            node.rate = node.rate.max(rate);
            let fresh = node.wt == 0.0;
            (node.shard, node.zone, node.open) = (e.shard, e.zone, e.state == NodeState::Active);
            if fresh || e.started_at > node.came_up {
                node.came_up = e.started_at;
                (node.wt, node.mult) = (self.wt_start, 1.0);
                node.extra = node.extra.max(BUDGET_START * self.mean_units);
                if !fresh || form != EndpointEvent::Cached {
                    node.first_ok = now + spread;
                }
                if e.started_at > 0 && form == EndpointEvent::Cached {
                    // A host that has itself just started may have spent its part here before it died.
                    node.sent.add(now, self.cold.part);
                }
            }
        }
        // Nothing new goes to a closed node: what was held for it moves on or gets its answer.
        for at in self.nodes.places() {
            if self.nodes.get(at).is_some_and(|n| !n.open) {
                for id in std::mem::take(&mut self.nodes[at].held) {
                    self.place(host, now, id);
                }
            }
        }
        self.pump_all(host, now, false);
        self.sleep(host, now);
    }

    /// The list is had from another service from now on, as all hosts hear at about one time.
    pub fn on_discovery_moved(&mut self, host: &mut dyn Host, now: Tick) {
        self.ask_at = now + self.pcg.below(self.ask_span.min(ASK_MOVED) as u64) as Tick;
        self.sleep(host, now);
    }

    /// This host's part of a volume's limit from now on, in units a second; none: the even part.
    pub fn on_quota_changed(&mut self, now: Tick, id: VolumeId, part: Option<f64>) {
        let part = part.map(|p| p / SECOND);
        match part {
            Some(part) => *self.parts.enter(id.0, || part) = part,
            None if self.parts.get(id.0).is_some() => self.parts.remove(id.0),
            None => {}
        }
        if let Some(vol) = self.volumes.get_mut(id.0) {
            vol.fill(now, &self.plans[vol.plan], self.largest);
            vol.part = part;
        }
    }

    /// Plans as they stand from now on, and volumes that have another one. What a volume has saved up under
    /// the old figures stays its own, cut to the new ones at once: a limit that falls holds from this moment
    /// on, and one that rises is filled from here. Bases and ceilings follow with the next window.
    pub fn on_plans_changed(&mut self, now: Tick, plans: &[crate::interface::Plan], of: &[(VolumeId, u16)]) {
        let largest = self.largest;
        for vol in self.volumes.iter_mut() {
            vol.fill(now, &self.plans[vol.plan], largest);
        }
        self.plans = plans.iter().map(Plan::of).collect();
        for (id, plan) in of {
            if let Some(vol) = self.volumes.get_mut(id.0) {
                vol.plan = usize::from(*plan);
            }
        }
        for vol in self.volumes.iter_mut() {
            vol.fill(now, &self.plans[vol.plan], largest);
        }
    }

    /// A block I/O has come in.
    pub fn on_arrival(&mut self, host: &mut dyn Host, now: Tick, bio: Bio) {
        self.taken.add(now, 1.0);
        let group = &self.groups[bio.class as usize];
        let plan = &self.plans[bio.plan as usize];
        // A client's retry keeps the hard limit of its first try, and so has its latency goal too. A short
        // wait alone tells nothing: some clients give up sooner than others.
        let first =
            |t: &&(Tick, VolumeId, Tick)| t.1 == bio.volume && (t.0 - bio.deadline).abs() <= SAME_LIMIT;
        let goal = self.turned.iter().find(first).map_or(now + group.goal, |t| t.2);
        let goal = goal.min(bio.deadline - LAST_CALL);
        let ordered = group.ordered;
        let hosts = f64::from(bio.hosts.clamp(1, self.hosts));
        // A store opens empty when this host starts: a host that came back may have spent its part before.
        let part = self.parts.get(bio.volume.0).copied();
        let empty =
            || Volume { plan: bio.plan as usize, hosts, filled: self.born, part, ..Volume::default() };
        let vol = self.volumes.enter(bio.volume.0, empty);
        vol.fill(now, plan, self.largest);
        // The parts add up only if none is ever larger than the smallest that was due.
        vol.hosts = vol.hosts.max(hosts);
        vol.seen = now;
        vol.in_hand += 1;
        let step: Option<Step> = Some(Self::answer_or_resend);
        let half = if self.word_by_half { now + (bio.deadline - now) / 2 - LAST_CALL } else { bio.deadline };
        self.slots.enter(bio.id.0, || Slot { bio, goal, half, step, ..Slot::default() });
        if let Some(key) = bio.key {
            self.join(key, bio.id, ordered);
        }
        if goal <= now {
            self.give_up(host, now, bio.id);
        } else if let Some(node) = self.place(host, now, bio.id) {
            self.pump(host, now, node);
        }
        self.sleep(host, now);
    }

    /// A submit has come out.
    pub fn on_attempt_finished(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        id: BioId,
        outcome: &AttemptOutcome,
    ) {
        // Late, repeated and moot events find no submit out, also where the place is used again.
        if !self.slots.get(id.0).is_some_and(|s| s.out) {
            return;
        }
        let slot = &mut self.slots[id.0];
        slot.out = false;
        let (step, units, at, sent) = (slot.step, slot.bio.units, outcome.node, now - outcome.latency);
        self.learn(now, at, id, units, outcome);
        let slot = &mut self.slots[id.0];
        if !matches!(
            outcome.result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        ) {
            slot.ran = slot.ran.or(Some((sent, at)));
            if let Idempotency::IdempotentByKey { window, .. } = self.groups[slot.bio.class as usize].effect {
                slot.goal = slot.ran.map_or(slot.goal, |ran| slot.goal.min(ran.0 + window - LAST_CALL));
            }
        }
        if self.counts_others && outcome.result == AttemptResult::Completed {
            // After a silence the count is of long ago: more than a store's worth says no more than that.
            let vol = &mut self.volumes[slot.bio.volume.0];
            vol.told += outcome.units_by_other_hosts.clamp(0.0, self.plans[vol.plan].burst);
            vol.others = vol.others.or(Some(0.0));
        }
        // What was cut off may still run: the key rests.
        let cut = matches!(
            outcome.result,
            AttemptResult::TimedOut | AttemptResult::ConnectionReset | AttemptResult::Cancelled
        );
        if let (Some(key), true) = (slot.bio.key, cut && self.groups[slot.bio.class as usize].ordered) {
            self.keys[key.0].rest = now + self.order_rest + 1;
            self.resting.push(key);
            // Whoever is next on the key goes when its rest ends, not a window later.
            self.alarms.push(Reverse((now + self.order_rest + 1, id)));
        }
        if outcome.result == AttemptResult::Completed && now < self.losing {
            self.call_off_lost(host, now, at);
        } else if outcome.result == AttemptResult::TimedOut && self.nodes[at.0].answered > sent {
            // The node answered a later submit and left this one: answers get lost.
            self.losing = now + LOSING;
        }
        match step {
            Some(step) => step(self, host, now, id, outcome),
            None => self.leave(host, now, id),
        }
        self.pump(host, now, at);
        self.sleep(host, now);
    }

    /// The client has left, or the host has answered it.
    pub fn on_disconnect(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        if self.slots.get(id.0).is_some_and(|s| !s.over) {
            self.leave(host, now, id);
        }
        self.sleep(host, now);
    }

    /// How a node stands, for those who watch.
    pub fn node_status(&self, now: Tick, at: NodeId) -> Option<NodeStatus> {
        let n = self.nodes.get(at.0)?;
        Some(NodeStatus {
            active: n.open,
            in_flight: n.out.len() as u32,
            queued: n.held.len() as u32,
            concurrency_window: n.wt,
            mean_latency: n.lat,
            cost_multiplier: n.mult,
            consecutive_failures: n.failures,
            warming_up: n.came_up > 0 && now < n.came_up + self.cold.span,
        })
    }

    /// The time asked for with `set_timer` has come.
    pub fn on_timer(&mut self, host: &mut dyn Host, now: Tick) {
        if now >= self.waking {
            self.waking = Tick::MAX;
        }
        if now >= self.ask_at {
            (self.ask_at, self.asked) = (Tick::MAX, Some(now));
            host.poll_endpoints();
        }
        while let Some(&Reverse((at, id))) = self.alarms.peek() {
            if at > now {
                break;
            }
            self.alarms.pop();
            // The slot may hold a later block I/O by now, or one that was sent meanwhile.
            if self.slots.get(id.0).is_some_and(|s| !s.over && !s.out && s.held_until() <= now) {
                self.give_up(host, now, id);
            }
        }
        let turn = now >= self.next_window;
        if turn {
            self.next_window = now + WINDOW;
            self.warm = (self.warm.0 * WARM_KEPT, self.warm.1 * WARM_KEPT);
            self.tidy(host, now);
        }
        self.pump_all(host, now, turn);
        self.sleep(host, now);
    }

    fn pump_all(&mut self, host: &mut dyn Host, now: Tick, turn: bool) {
        for at in self.nodes.places() {
            if self.nodes.get(at).is_some() {
                if turn {
                    self.run_scheduling(now, NodeId(at));
                }
                self.pump(host, now, NodeId(at));
            }
        }
    }

    /// Forgets nodes, volumes and keys that are of no more use.
    fn tidy(&mut self, host: &mut dyn Host, now: Tick) {
        self.turned.retain(|t| t.0 > now);
        for at in self.nodes.places() {
            let Some(n) = self.nodes.get_mut(at) else { continue };
            n.closed = if n.open { None } else { n.closed.or(Some(now)) };
            let idle = n.out.is_empty() && n.held.is_empty();
            if idle && n.closed.is_some_and(|since| now - since > GONE_NODE) {
                self.nodes.remove(at);
                host.release_node(NodeId(at));
            }
        }
        let (plans, largest) = (&self.plans, self.largest);
        let done = |v: &mut Volume| {
            v.fill(now, &plans[v.plan], largest);
            let rate = std::mem::take(&mut v.told) / WINDOW as f64;
            v.others = v.others.map(|o| o + (rate - o) * OTHERS_STEP);
            v.in_hand == 0 && now - v.seen > IDLE_VOLUME && v.store >= plans[v.plan].burst / v.hosts
        };
        for at in self.volumes.places() {
            if self.volumes.get(at).is_some() && done(&mut self.volumes[at]) {
                self.volumes.remove(at);
                self.nodes.iter_mut().for_each(|n| n.shares.retain(|s| s.vol.0 != at));
                host.release_volume(VolumeId(at));
            }
        }
        for i in (0..self.resting.len()).rev() {
            let (key, state) = (self.resting[i], &mut self.keys[self.resting[i].0]);
            if state.rest <= now {
                self.resting.swap_remove(i);
                if state.users == 0 && state.rest > 0 {
                    state.rest = 0;
                    host.release_key(key);
                }
            }
        }
    }

    /// A block I/O takes its turn behind the others of its key, or only counts as a user of it.
    fn join(&mut self, key: KeyId, id: BioId, ordered: bool) {
        let state = self.keys.enter(key.0, Key::default);
        state.users += 1;
        if !ordered {
            return;
        }
        let Some(mut last) = state.head else {
            state.head = Some(id);
            return;
        };
        while let Some(next) = self.slots[last.0].next_of_key {
            last = next;
        }
        self.slots[last.0].next_of_key = Some(id);
    }

    /// A block I/O that is over and has no submit out gives up its turn, wherever it stands.
    fn part(&mut self, host: &mut dyn Host, now: Tick, key: KeyId, id: BioId, next: Option<BioId>) {
        let state = &mut self.keys[key.0];
        if state.head == Some(id) {
            state.head = next;
        } else {
            let mut before = state.head;
            while let Some(b) = before {
                before = self.slots[b.0].next_of_key;
                if before == Some(id) {
                    self.slots[b.0].next_of_key = next;
                    break;
                }
            }
        }
        state.users -= 1;
        if state.users == 0 && state.rest <= now {
            state.rest = 0;
            host.release_key(key);
        }
    }

    /// Asks to be woken at the next thing due.
    fn sleep(&mut self, host: &mut dyn Host, now: Tick) {
        let alarm = self.alarms.peek().map_or(Tick::MAX, |a| a.0.0);
        let rested = |n: &Node| if n.held.is_empty() || n.first_ok <= now { Tick::MAX } else { n.first_ok };
        let rested = self.nodes.iter().map(|(_, n)| rested(n)).min().unwrap_or(Tick::MAX);
        let due = self.next_window.min(alarm).min(self.ask_at).min(rested).max(now + 1);
        if due < self.waking {
            self.waking = due;
            host.set_timer(due - now);
        }
    }

    /// Both passes of the design's Algorithm 1 for one node.
    fn run_scheduling(&mut self, now: Tick, at: NodeId) {
        let node = &mut self.nodes[at.0];
        node.heard *= HEARD_KEPT;
        let target = NARROW_ABOVE * self.short_goal;
        // With nothing out the mean wait is hearsay that ages: else a node once slow would stay shut to what
        // must be in time.
        if node.out.is_empty() {
            let others = self.best + (self.lat - self.best) * self.others;
            node.lat = node.lat * FADE + others * (1.0 - FADE);
            node.wt = node.wt.max((node.wt * (2.0 - FADE)).min(1.0));
        }
        // The budget grows while the node answers in time and the budget is what holds block I/Os back.
        if node.lat > target {
            node.extra = (node.extra * (1.0 - BUDGET_STEP)).max(BUDGET_START * self.mean_units);
        } else if !node.held.is_empty() {
            node.extra = (node.extra * (1.0 + BUDGET_STEP)).min(WT_MAX * self.mean_units);
        }
        // What goes to the node while it is well, for the day when it comes back cold.
        let rate = std::mem::take(&mut node.units) / WINDOW as f64;
        if node.lat < target && node.failures == 0 && node.warm(now, self.cold.span) {
            let young = WINDOW as f64 / (now - self.born).max(WINDOW) as f64;
            node.rate += (rate - node.rate) * young.max(RATE_STEP);
        }
        node.shares.iter_mut().for_each(|s| s.held = 0.0);
        for id in &node.held {
            let bio = &self.slots[id.0].bio;
            let own = node.shares.iter().position(|s| s.vol == bio.volume).expect("placed");
            node.shares[own].held += bio.units;
        }
        let figures = |s: &Share| {
            let vol = &self.volumes[s.vol.0];
            let plan = &self.plans[vol.plan];
            // The limit less what others are told to use; the even part before they are, and at least.
            let even = vol.limit(plan);
            let rate = vol.others.map_or(even, |o| (plan.limit - o).max(even));
            let ceiling = rate * WINDOW as f64 + plan.burst / vol.hosts;
            (plan.reserve * WINDOW as f64 / vol.hosts, ceiling, plan.wt)
        };
        let bases: f64 = node.shares.iter().map(|s| figures(s).0).sum();
        let total = bases + node.extra;
        node.pool = total * POOL;
        let mut unused = total - node.pool;
        let mut sum = 0.0;
        let idle = node.shares.iter().all(|s| s.used == 0.0 && s.held == 0.0);
        let demand = |s: &Share, wt: f64| if idle { wt } else { (s.used + s.held * THROTTLE_WT) * wt };
        for s in &mut node.shares {
            let (base, _, wt) = figures(s);
            let debt = s.alloc.min(0.0);
            s.hist = s.used.max(s.hist * ALPHA);
            let alloc = if s.burst || s.held > 0.0 { base } else { s.hist * ALPHA };
            s.alloc = alloc + debt;
            unused -= alloc;
            sum += demand(s, wt);
        }
        for s in &mut node.shares {
            let (base, ceiling, wt) = figures(s);
            let part = if sum > 0.0 { unused.max(0.0) * demand(s, wt) / sum } else { 0.0 };
            s.alloc = (s.alloc + part).min(ceiling);
            s.burst = s.alloc > base;
            s.used = 0.0;
        }
    }

    /// The design's order: own allocation, the richer of two bursting volumes', the pool, else wait.
    /// An allocation in the black may be overdrawn and pays back later: a block I/O may cost many windows.
    fn admit(&mut self, at: NodeId, vol: VolumeId, units: f64) -> bool {
        let node = &mut self.nodes[at.0];
        let cost = units * node.mult;
        let own = node.share(vol);
        let payer = if node.shares[own].alloc > 0.0 {
            Some(own)
        } else {
            let bursting = node.shares.iter().filter(|s| s.burst).count() as u64;
            let mut draw = || {
                let nth = self.pcg.below(bursting) as usize;
                node.shares.iter().enumerate().filter(|(_, s)| s.burst).nth(nth).map(|(i, _)| i)
            };
            let pair = (draw(), draw());
            let richer = match pair {
                (Some(a), Some(b)) => Some(if node.shares[a].alloc >= node.shares[b].alloc { a } else { b }),
                _ => None,
            };
            richer.filter(|i| node.shares[*i].alloc >= cost)
        };
        if let Some(i) = payer {
            node.shares[i].alloc -= cost;
        } else if node.pool >= cost {
            node.pool -= cost;
        } else if node.out.is_empty() || node.lat < WIDEN_BELOW * self.short_goal {
            // Nothing of this host's is out, or the node answers quickly: to wait for the next window would
            // only leave it idle, so the block I/O goes on credit.
            node.shares[own].alloc -= cost;
        } else {
            return false;
        }
        node.shares[own].used += cost;
        true
    }

    /// What a unit of this block I/O would still earn if it were sent now.
    fn density(&self, slot: &Slot, share: &Share) -> f64 {
        let group = &self.groups[slot.bio.class as usize];
        let vol = &self.volumes[slot.bio.volume.0];
        let plan = &self.plans[vol.plan];
        // The part of it inside the reserve counts in full, the rest as the share or, beyond that, as spare.
        let beyond = if share.alloc > 0.0 { self.share_gain } else { self.spare_gain };
        let inside = (vol.reserve / slot.bio.units.max(self.mean_units / 8.0)).min(1.0);
        let tier = inside + (1.0 - inside) * beyond;
        tier * group.gain * plan.price
    }

    /// Sends what a node has room for: the most gain first, and of equal gain the earliest goal.
    fn pump(&mut self, host: &mut dyn Host, now: Tick, at: NodeId) {
        self.pumps += 1; // marks the volumes that the design lets wait this time
        let turn = self.pumps;
        loop {
            let (room, part) = self.cold_room(now, at);
            let further = self.may_send_again(now);
            let (node, goal, losing) = (&self.nodes[at.0], self.short_goal, now < self.losing);
            if now < node.first_ok
                || node.held.is_empty()
                || f64::from(node.waiting(now, goal, losing)) + 1.0 > node.wt.max(1.0)
            {
                return;
            }
            // What earns little leaves a crowded node to the other hosts' better block I/Os.
            let above = ((node.lat - self.best) / goal - PRICE_FROM) / PRICE_SPAN;
            let price = above / (node.wt.powi(2) * node.heard.max(1.0));
            let price = ((price.max(0.0) + self.price) * self.others).min(PRICE_MOST);
            let mut best: Option<(f64, Tick, usize)> = None;
            for (i, id) in node.held.iter().enumerate() {
                let slot = &self.slots[id.0];
                let share = &node.shares[node.share(slot.bio.volume)];
                // Nothing out here says nothing of a node that many share: what will be late only fills it.
                let waits = share.passed == turn || node.late(now, slot.goal);
                if waits || slot.submits > 0 && !further || !self.may_send(slot, now, at) {
                    continue;
                }
                let gain = self.density(slot, share);
                // What is left of a cold node's part is kept for the best.
                let lacks = (1.0 - gain / self.usual_gain).max(0.0);
                if 1.0 - lacks < price || slot.bio.units + part * lacks > room {
                    continue;
                }
                if best.is_none_or(|(g, goal, _)| gain > g || gain == g && slot.goal < goal) {
                    best = Some((gain, slot.goal, i));
                }
            }
            let Some((_, _, i)) = best else { return };
            let id = node.held[i];
            let bio = self.slots[id.0].bio;
            if !self.admit(at, bio.volume, bio.units) {
                let node = &mut self.nodes[at.0];
                let own = node.share(bio.volume);
                node.shares[own].passed = turn;
                continue;
            }
            self.nodes[at.0].held.swap_remove(i);
            self.send(host, now, id, at);
        }
    }

    /// Units that this host may still send to a node that has just started, and its whole part. The part is
    /// even or goes by what this host sent here when all was well, since all hosts together sent no more than
    /// the node could do. It grows with the slowest warm-up that the terms allow. Smaller than the largest
    /// block I/O, it goes out whole by a chance drawn for each fall span, half of it for a host that never
    /// sent there: even parts are dealt to hosts with nothing to send. Hurts where all surge at a return.
    fn cold_room(&mut self, now: Tick, at: NodeId) -> (f64, f64) {
        let (fall, node) = (self.cold.fall, &mut self.nodes[at.0]);
        let age = now - node.came_up;
        if node.came_up == 0 || fall == 0 || age >= self.cold.span + fall / 2 {
            return (f64::INFINITY, 0.0);
        }
        let warm = (age - fall / 2).max(0) as f64 / self.cold.span.max(1) as f64;
        let grown = (self.cold.from + (1.0 - self.cold.from) * warm.min(1.0)) / self.cold.from;
        let mut part = self.cold.part.max(node.rate * self.cold.of_rate) * grown;
        let sent = node.sent.since(now - fall - 1);
        if part < self.largest {
            if now >= node.cold_turn {
                (node.cold_turn, node.cold_luck) = (now + fall, self.pcg.part());
            }
            let (went, asked) = self.warm;
            let known = (went + COLD_UNUSED * WARM_PRIOR) / (asked + WARM_PRIOR);
            let used = if node.rate > 0.0 { 1.0 } else { known };
            let flow = self.cold.of_rate * grown / fall as f64 * used;
            if node.cold_luck + f64::from(sent > 0.0) < flow {
                part = self.largest;
            } else if sent == 0.0 {
                part = (part / node.cold_luck).min(self.largest);
            }
        }
        (part - sent, part)
    }

    /// Whether the budget of further submits has one left, counted at the moment of sending: block I/Os may
    /// wait here between a failure and the next submit, and takes fall out of the span meanwhile.
    fn may_send_again(&mut self, now: Tick) -> bool {
        let (free, share, span) = self.budget;
        span == 0
            || self.further.since(now - span - 1) + 1.0 <= free + share * self.taken.since(now - span + 1)
    }

    /// The rules, for one submit: order, limit, effect. (Cold nodes and the budget: see `pump`.)
    fn may_send(&self, slot: &Slot, now: Tick, at: NodeId) -> bool {
        let group = &self.groups[slot.bio.class as usize];
        if let (Some(key), true) = (slot.bio.key, group.ordered) {
            let key = &self.keys[key.0];
            if key.head != Some(slot.bio.id) || slot.submits == 0 && now < key.rest {
                return false;
            }
        }
        let vol = &self.volumes[slot.bio.volume.0];
        // While a store is too short for the group of most gain, what fills it goes to no other.
        let short = vol.store < slot.bio.units || group.lacks > 0.0 && now < vol.short;
        if self.plans[vol.plan].limit.is_finite() && !slot.drew && short {
            return false;
        }
        Self::may_run(&self.nodes, slot, group.effect, now, &self.nodes[at.0])
    }

    /// The rule on effects: where a block I/O may go that may have run elsewhere.
    fn may_run(nodes: &Slab<Node>, slot: &Slot, effect: Idempotency, now: Tick, b: &Node) -> bool {
        slot.ran.is_none_or(|(sent, first)| match (effect, nodes.get(first.0)) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotentByKey { scope, window }, a) if now + LAST_CALL < sent + window => {
                match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => a.is_some_and(|a| a.zone == b.zone),
                    DeduplicationScope::Shard => a.is_some_and(|a| a.shard == b.shard),
                }
            }
            _ => false,
        })
    }

    fn send(&mut self, host: &mut dyn Host, now: Tick, id: BioId, at: NodeId) {
        let slot = &mut self.slots[id.0];
        let units = slot.bio.units;
        if slot.submits > 0 {
            self.further.add(now, 1.0);
        } else if self.nodes[at.0].warm(now, self.cold.span) {
            self.warm = (self.warm.0 + 1.0, self.warm.1 + 1.0);
        }
        slot.submits += 1;
        slot.out = true;
        let vol = &mut self.volumes[slot.bio.volume.0];
        if !slot.drew {
            slot.drew = true;
            vol.fill(now, &self.plans[vol.plan], self.largest);
            vol.store -= units;
            vol.reserve = (vol.reserve - units).max(0.0);
        }
        let node = &mut self.nodes[at.0];
        node.out.push((now, id));
        node.units += units;
        self.alarms.push(Reverse((now + node.patience(self.short_goal) + 1, id)));
        if node.came_up > 0 {
            node.sent.add(now, units);
        }
        host.forward(id, at, slot.bio.deadline - now - LAST_CALL / 3);
    }

    /// Calls off what a node has left far longer than it takes, and overtaken by an answer to a later submit:
    /// the answer was lost or hangs, the node is well, and another submit may still be in time.
    /// Guards against lost answers and requests stuck at a node; hurts where a node serves far out of turn.
    fn call_off_lost(&mut self, host: &mut dyn Host, now: Tick, at: NodeId) {
        let node = &self.nodes[at.0];
        let since = (now - node.patience(self.short_goal)).min(node.answered);
        for (sent, id) in &node.out {
            let slot = &self.slots[id.0];
            let repeats = self.groups[slot.bio.class as usize].effect == Idempotency::Idempotent;
            if *sent < since && repeats && !slot.over && self.may_cancel {
                host.cancel(*id, slot.submits - 1);
            }
        }
    }

    /// What an outcome tells of its node.
    fn learn(&mut self, now: Tick, at: NodeId, id: BioId, units: f64, outcome: &AttemptOutcome) {
        let node = &mut self.nodes[at.0];
        let full = node.out.len() as f64 + 1.0 > node.wt;
        node.out.retain(|o| o.1 != id);
        let wait = outcome.latency as f64;
        match outcome.result {
            AttemptResult::Completed => {
                self.lat += (wait.min(NEVER_LATE * self.short_goal) - self.lat) * LAT_ALL;
                self.best = (self.best * BEST_RISES).min(self.lat);
                let step = if wait > self.short_goal { DEARER } else { -CHEAPER };
                self.price = (self.price + step).clamp(0.0, PRICE_MOST);
                // Many hosts leave each of them few answers: then the last one says more than the mean.
                node.heard += 1.0;
                let step = (1.0 / node.heard).max(LAT_STEP);
                node.lat += (wait - node.lat) * step;
                let per_unit = wait / units.max(1.0);
                let step = if per_unit > 2.0 * node.median { MULT_UP } else { MULT_DOWN };
                node.mult = (node.mult * step).clamp(MULT_RANGE.0, MULT_RANGE.1);
                node.recent[node.answers % RECENT] = per_unit;
                node.answers += 1;
                let (mut sorted, n) = (node.recent, node.answers.min(RECENT));
                node.median = *sorted[..n].select_nth_unstable_by(n / 2, f64::total_cmp).1;
                node.failures = 0;
                node.answered = node.answered.max(now - outcome.latency);
                if node.lat.max(wait) < WIDEN_BELOW * self.short_goal {
                    if full {
                        node.wt = (node.wt + WIDEN * (1.0 / node.wt).min(1.0)).min(WT_MAX);
                    }
                } else if node.lat > NARROW_ABOVE * self.short_goal {
                    node.wt = (node.wt * (1.0 - NARROW / node.wt.max(1.0))).max(WT_LEAST);
                }
            }
            AttemptResult::NotSent | AttemptResult::Cancelled => {}
            // A quick failure is no quick answer: it narrows the window, and a full queue or no answer says
            // that the wait is long. Without these a node that is jammed would look as quick as it was.
            _ => {
                let least = match outcome.result {
                    AttemptResult::Rejected => self.short_goal,
                    AttemptResult::TimedOut => wait.min(UNANSWERED_AS * self.lat),
                    _ => 0.0,
                };
                node.lat += (least - node.lat).max(0.0) * UNANSWERED;
                self.lat += (least * NEVER_LATE - self.lat).max(0.0) * LAT_ALL;
                node.wt = (node.wt * (1.0 - NARROW)).max(WT_LEAST);
                node.failures += 1;
            }
        }
        // A window below one is kept by a pause after each answer, so that the node works for the other hosts
        // meanwhile; a node that fails again and again is tried ever more seldom, until it answers.
        let rest = if node.wt < 1.0 { node.lat.min(self.short_goal) * (1.0 / node.wt - 1.0) } else { 0.0 };
        let doubt =
            if node.failures > 1 { (TRY_AGAIN << (node.failures - 2).min(16)).min(self.try_most) } else { 0 };
        node.first_ok = node.first_ok.max(now + doubt.max(rest as Tick));
    }

    /// The step of a block I/O whose client still waits.
    fn answer_or_resend(&mut self, host: &mut dyn Host, now: Tick, id: BioId, outcome: &AttemptOutcome) {
        let slot = &self.slots[id.0];
        if outcome.client_answered || outcome.result == AttemptResult::Completed {
            return self.leave(host, now, id);
        }
        let group = &self.groups[slot.bio.class as usize];
        let may_repeat = slot.ran.is_none() || group.effect != Idempotency::NonIdempotent;
        let time_left = slot.goal > now;
        if !may_repeat || !time_left || slot.submits >= group.submits {
            return self.give_up(host, now, id);
        }
        self.place(host, now, id);
    }

    /// Finds the node of a block I/O and puts it among those held there; without a node it gets its answer.
    fn place(&mut self, host: &mut dyn Host, now: Tick, id: BioId) -> Option<NodeId> {
        let slot = &self.slots[id.0];
        let (bio, last) = (slot.bio, slot.node);
        // Two at random, the one with the shorter line. A shard has one node, but for a release that brings
        // the next one up, cold, while the last is still warm: then both serve.
        let nodes = &self.nodes;
        let effect = self.groups[bio.class as usize].effect;
        let holds = |n: &Node| n.open && bio.shard.is_none_or(|shard| n.shard == shard);
        let fits = |n: &(u32, &Node)| holds(n.1) && Self::may_run(nodes, slot, effect, now, n.1);
        let count = nodes.iter().filter(fits).count();
        if count == 0 {
            self.give_up(host, now, id);
            return None;
        }
        let a = self.pcg.below(count as u64) as usize;
        let b = (a + 1 + self.pcg.below(count as u64 - 1) as usize) % count;
        let nth = |k| NodeId(nodes.iter().filter(fits).nth(k).expect("counted").0);
        let (a, b) = (nth(a), nth(b));
        let (line_a, line_b) = (self.line(now, a, bio.units, last), self.line(now, b, bio.units, last));
        let at = if line_a <= line_b { a } else { b };
        self.slots[id.0].node = Some(at);
        // Held past its time it is given up, after each submit anew.
        self.alarms.push(Reverse((self.slots[id.0].held_until(), id)));
        let base = self.plans[bio.plan as usize].reserve * WINDOW as f64 / self.volumes[bio.volume.0].hosts;
        let node = &mut self.nodes[at.0];
        if !node.shares.iter().any(|s| s.vol == bio.volume) {
            node.shares.push(Share { vol: bio.volume, alloc: base, hist: base, ..Share::default() });
        }
        node.held.push(id);
        Some(at)
    }

    /// How long a block I/O may wait at a node, by this host's own counts. A node that leaves a submit
    /// unanswered is as slow as that submit is old; the last one tried and a cold one that is full come
    /// after any other.
    fn line(&mut self, now: Tick, at: NodeId, units: f64, last: Option<NodeId>) -> f64 {
        let room = self.cold_room(now, at).0;
        let n = &self.nodes[at.0];
        if last == Some(at) || room < units || n.first_ok > now + (self.short_goal / 4.0) as Tick {
            return f64::MAX;
        }
        let oldest = n.out.first().map_or(0, |o| now - o.0) as f64;
        (n.out.len() + n.held.len() + 1) as f64 * f64::from(n.failures + 1) * (n.lat.max(oldest) + 1.0) / n.wt
    }

    /// The final answer of what will not be served, at once.
    fn give_up(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let slot = &self.slots[id.0];
        let at_warm = |at: NodeId| self.nodes[at.0].warm(now, self.cold.span) && self.may_send(slot, now, at);
        if slot.submits == 0 && slot.node.is_some_and(at_warm) {
            self.warm.1 += 1.0;
        }
        self.turned.push((slot.bio.deadline, slot.bio.volume, slot.goal));
        let (vol, group) = (&mut self.volumes[slot.bio.volume.0], &self.groups[slot.bio.class as usize]);
        if group.lacks == 0.0 && !slot.drew && vol.store < slot.bio.units {
            vol.short = now + SHORT;
        }
        let effect = self.groups[slot.bio.class as usize].effect;
        let dropped = matches!(
            effect,
            Idempotency::Idempotent | Idempotency::IdempotentByKey { scope: DeduplicationScope::All, .. }
        );
        if slot.ran.is_none() || dropped {
            host.shed(id, self.return_after);
        } else {
            host.fail(id);
        }
        self.leave(host, now, id);
    }

    /// A block I/O that is over leaves the held ones; with its submit in, its key and its place as well.
    fn leave(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let slot = &mut self.slots[id.0];
        (slot.over, slot.step) = (true, None);
        let (bio, node, next) = (slot.bio, slot.node, slot.next_of_key);
        if slot.out {
            if self.may_cancel {
                host.cancel(id, slot.submits - 1);
            }
            return;
        }
        if let Some(node) = node {
            self.nodes[node.0].held.retain(|h| *h != id);
        }
        self.volumes[bio.volume.0].in_hand -= 1;
        if let Some(key) = bio.key {
            self.part(host, now, key, id, next);
        }
        self.slots.remove(id.0);
        host.release_bio(id);
    }
}
