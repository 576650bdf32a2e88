//! Pinned behaviour: seeded decisions of the testbed, compared with digests that were recorded once.
use crate::digest::Digest;
use mallowseam_lab::fleet::addresses::Addresses;
use mallowseam_lab::fleet::callers::{Callers, Op, Wants};
use mallowseam_lab::fleet::links::{Fault, Links, Opening, Out, Party, Pipe, Side};
use mallowseam_lab::fleet::scene::{self, Some2, Trouble};
use mallowseam_lab::fleet::store::{Got, Job, Manners, Store};
use mallowseam_lab::fleet::storm;
use mallowseam_lab::fleet::turns::{Handled, Mood, Turns};
use mallowseam_lab::model;
use mallowseam_lab::node::Model;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn party(digest: &mut Digest, party: Party) {
    let (kind, number) = match party {
        Party::Host(n) => (0, n),
        Party::Node(n) => (1, n),
        Party::List(n) => (2, n),
        Party::Clients => (3, 0),
    };
    digest.numbers(&[kind, u64::from(number)]);
}

fn side(digest: &mut Digest, side: Side) {
    match side {
        Side::All => digest.number(0),
        Side::Hosts => digest.number(1),
        Side::Nodes => digest.number(2),
        Side::Lists => digest.number(3),
        Side::One(one) => {
            digest.number(4);
            party(digest, one);
        }
        Side::Zone(zone) => digest.numbers(&[5, u64::from(zone)]),
        Side::HostRange(from, to) => digest.numbers(&[6, u64::from(from), u64::from(to)]),
        Side::NodeRange(from, to) => digest.numbers(&[7, u64::from(from), u64::from(to)]),
    }
}

fn fault(digest: &mut Digest, f: &Fault) {
    digest.numbers(&[f.delay, f.spread, u64::from(f.silent), u64::from(f.refuses), f.cut_after]);
    digest.float(f.rate);
    digest.float(f.loss);
    digest.float(f.repeats);
}

fn mood(digest: &mut Digest, mood: Mood) {
    match mood {
        Mood::Well => digest.number(0),
        Mood::Down => digest.number(1),
        Mood::Mute => digest.number(2),
        Mood::Refuses(part) => {
            digest.number(3);
            digest.float(part);
        }
    }
}

fn trouble(digest: &mut Digest, trouble: &Trouble) {
    let some = |digest: &mut Digest, kind: u64, some: Some2| {
        digest.numbers(&[kind, u64::from(some.0), u64::from(some.1)]);
    };
    match *trouble {
        Trouble::Kill(s) => some(digest, 0, s),
        Trouble::Start(s) => some(digest, 1, s),
        Trouble::Term(s) => some(digest, 2, s),
        Trouble::Stall(s, stall) => some(digest, 3 + u64::from(stall), s),
        Trouble::Move(s) => some(digest, 5, s),
        Trouble::NodeStop(s) => some(digest, 6, s),
        Trouble::NodeStart(s) => some(digest, 7, s),
        Trouble::NodeSlow(s, times) => {
            some(digest, 8, s);
            digest.float(times);
        }
        Trouble::NodeReplace(s) => some(digest, 9, s),
        Trouble::NodeGone(s) => some(digest, 10, s),
        Trouble::List(m) => {
            digest.number(11);
            mood(digest, m);
        }
        Trouble::Forget(s) => some(digest, 12, s),
        Trouble::ListSlow(times) => {
            digest.number(13);
            digest.float(times);
        }
        Trouble::Link(from, to, f) => {
            digest.number(14);
            side(digest, from);
            side(digest, to);
            fault(digest, &f);
        }
        Trouble::Load(times) => {
            digest.number(15);
            digest.float(times);
        }
    }
}

fn scenario(digest: &mut Digest, text: &str) {
    let s = scene::read("pinned", text).expect("a sound script");
    digest.numbers(&[s.length, u64::from(s.hosts), s.known as u64, u64::from(s.zones), u64::from(s.nodes)]);
    digest.numbers(&[s.manners.lines as u64, s.manners.handshake, s.manners.down, u64::from(s.cold_nodes)]);
    digest.numbers(&[s.model.cores as u64, s.model.queue as u64, s.model.cold_span, s.model.fall_span]);
    digest.float(s.model.unit_work);
    digest.float(s.model.cold_from);
    digest.float(s.model.fall_multiple);
    let w = &s.wants;
    digest.float(w.rate);
    digest.float(w.posts);
    digest.float(w.uneven);
    digest.numbers(&[
        u64::from(w.volumes),
        u64::from(w.again),
        u64::from(w.patient),
        w.read_wait,
        w.write_wait,
    ]);
    digest.numbers(&[s.takes, s.patience, s.lag, u64::from(s.memory_mb), u64::from(s.sockets)]);
    if let Some(v) = s.view {
        digest.numbers(&[v.period, u64::from(v.seeds), v.keep, u64::from(v.hosts.0), u64::from(v.hosts.1)]);
    }
    for event in &s.events {
        digest.number(event.at);
        trouble(digest, &event.trouble);
    }
    for host in 0..s.hosts.min(3) {
        let known = "{\"seq\":1}";
        digest.bytes(scene::config(&s, (host, host + 1), Addresses::new(9), 1, 0xabc, known).as_bytes());
    }
    let scaled = s.scaled(90);
    digest.numbers(&[u64::from(scaled.hosts), u64::from(scaled.nodes), u64::from(scaled.wants.volumes)]);
    digest.float(scaled.wants.rate);
}

const EVERY_DIRECTIVE: &str = "day 20s\nhosts 12 known ahead\nlimits 64 512\nzones 3\nview period 250ms seeds 2 keep 9s hosts 1..7\n\
    nodes 5 cores 3 work 7ms queue 9 start-cold\nlines 12 3ms\ncold 20% 4s 3 2s 50 6s\n\
    clients rate 77/s posts 40% again 3 at-once uneven 5\nlist takes 35ms patience 2s lag 90ms\n\
    at 1s host 3 kill for 2s\nat 2s host 2..5 term for 1s\nat 3s host all stall for 500ms\nat 4s host 1 move\n\
    at 5s node 2 kill for 1s\nat 5s node 1 slow 2.5 for 1s\nat 6s node 0..2 replace for 3s\n\
    at 1s list away for 1s\nat 3s list mute for 1s\nat 5s list refuses 30% for 1s\nat 7s list forgets 2..4\n\
    at 8s list slow 3 for 1s\nat 9s load 2.5 for 3s\nat 1500ms link all host3 silent for 1s\n\
    at 2s link nodes node0..3 one-way slow 30ms spread 9ms for 2s\nat 3s link lists list1 refused for 1s\n\
    at 4s link clients zone1 bytes 9000/s cut-after 700 for 1s\nat 5s link host0..4 node2 loss 10% repeats 4% for 1s\n";

#[test]
fn scenario_scripts_are_parsed_as_recorded() {
    let mut digest = Digest::new();
    scenario(&mut digest, include_str!("../../scripts/cold-start.fleet"));
    scenario(&mut digest, include_str!("../../scripts/cold-overload.fleet"));
    scenario(&mut digest, include_str!("../../scripts/cold-sum.fleet"));
    scenario(&mut digest, EVERY_DIRECTIVE);
    for seed in 0..10 {
        scenario(&mut digest, &storm::script(30, seed));
    }
    assert_eq!(format!("{:016x}", digest.0), "995479e908099fbb");
}

#[test]
fn problems_of_scripts_are_reported_as_recorded() {
    let mut digest = Digest::new();
    for line in EVERY_DIRECTIVE.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        for cut in 1..words.len() {
            let broken = format!("{} nonsense {}", words[..cut].join(" "), words[cut..].join(" "));
            let text = EVERY_DIRECTIVE.replacen(line, &broken, 1);
            let found =
                scene::read("pinned", &text).map_or_else(|problems| problems.to_string(), |_| String::new());
            digest.bytes(found.as_bytes());
        }
    }
    digest.bytes(scene::read("empty", "").expect_err("nothing in it").to_string().as_bytes());
    assert_eq!(format!("{:016x}", digest.0), "64a0922afe91b49e");
}

#[test]
fn drawn_fault_schedules_are_as_recorded() {
    let mut digest = Digest::new();
    for hosts in [3, 10, 40, 300] {
        (0..20).for_each(|seed| digest.bytes(storm::script(hosts, seed).as_bytes()));
    }
    assert_eq!(format!("{:016x}", digest.0), "dec4785db152f611");
}

fn drawn_party(rng: &mut Pcg64Mcg) -> Party {
    match rng.random_range(0..4) {
        0 => Party::Host(rng.random_range(0..6)),
        1 => Party::Node(rng.random_range(0..4)),
        2 => Party::List(rng.random_range(0..2)),
        _ => Party::Clients,
    }
}

fn drawn_side(rng: &mut Pcg64Mcg) -> Side {
    let (from, to) = (rng.random_range(0..4), rng.random_range(2..6));
    match rng.random_range(0..8) {
        0 => Side::All,
        1 => Side::Hosts,
        2 => Side::Nodes,
        3 => Side::Lists,
        4 => Side::One(drawn_party(rng)),
        5 => Side::Zone(from),
        6 => Side::HostRange(from, to),
        _ => Side::NodeRange(from, to),
    }
}

fn drawn_fault(rng: &mut Pcg64Mcg) -> Fault {
    let mut some = |most: u64| if rng.random_bool(0.4) { rng.random_range(0..most) } else { 0 };
    let (delay, spread, rate, cut_after) = (some(5_000), some(3_000), some(900_000), some(2_000));
    Fault {
        delay,
        spread,
        rate: rate as f64,
        cut_after,
        silent: rng.random_bool(0.2),
        refuses: rng.random_bool(0.2),
        loss: 0.0,
        repeats: 0.0,
    }
}

#[test]
fn faults_of_links_are_decided_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut links = Links::new(3);
        for _ in 0..30 {
            let (from, to) = (drawn_side(&mut rng), drawn_side(&mut rng));
            let set = if rng.random_bool(0.3) { Fault::default() } else { drawn_fault(&mut rng) };
            links.set(from, to, set);
            for _ in 0..10 {
                let (from, to) = (drawn_party(&mut rng), drawn_party(&mut rng));
                fault(&mut digest, &links.of(from, to));
                digest.number(match links.opening(from, to) {
                    Opening::Up => 0,
                    Opening::Refused => 1,
                    Opening::Silent => 2,
                });
            }
        }
    }
    assert_eq!(format!("{:016x}", digest.0), "b666e40e9b067225");
}

#[test]
fn bytes_pass_a_link_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pipe = Pipe::default();
        let mut set = drawn_fault(&mut rng);
        for step in 0..200u64 {
            let now = step * 40;
            if step % 50 == 49 {
                set = drawn_fault(&mut rng);
            }
            let len = rng.random_range(1..400);
            pipe.push(now, &vec![step as u8; len], &set, &mut rng);
            if step == 190 {
                pipe.end(now, &set, &mut rng);
            }
            match pipe.take(now, &set) {
                Out::Nothing => digest.number(0),
                Out::Bytes(bytes) => digest.bytes(&bytes),
                Out::End => digest.number(2),
                Out::Reset => digest.number(3),
            }
            digest.numbers(&[pipe.due().map_or(0, |due| due + 1), u64::from(pipe.full())]);
        }
    }
    assert_eq!(format!("{:016x}", digest.0), "98a5ef2fe7411314");
}

fn handled(digest: &mut Digest, how: Handled) {
    digest.number(u64::from(how == Handled::Served));
}

#[test]
fn polls_of_the_list_service_take_turns_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut turns = Turns::new(900, 20_000);
        for call in 0..300u64 {
            let now = call * 500;
            if rng.random_bool(0.03) {
                let mood = match rng.random_range(0..4) {
                    0 => Mood::Well,
                    1 => Mood::Down,
                    2 => Mood::Mute,
                    _ => Mood::Refuses(0.5),
                };
                turns.turns(now, mood);
            }
            if let Some(how) = turns.call(now, call, &mut rng) {
                handled(&mut digest, how);
            }
            if rng.random_bool(0.1) {
                turns.gone(call.saturating_sub(3));
            }
            while let Some((call, how)) = turns.next(now) {
                digest.number(call);
                handled(&mut digest, how);
            }
            digest.numbers(&[turns.due().map_or(0, |due| due + 1), turns.waiting() as u64]);
        }
        digest.numbers(&[turns.calls, turns.turned_away, turns.most_waiting as u64]);
    }
    let mut full = Turns::new(1_000, u64::MAX);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    (0..5_000u32).filter_map(|call| full.call(0, call, &mut rng)).for_each(|how| handled(&mut digest, how));
    digest.numbers(&[full.turned_away, full.most_waiting as u64]);
    assert_eq!(format!("{:016x}", digest.0), "bdbd5a2ee34b0321");
}

fn operation(digest: &mut Digest, op: &Op) {
    digest.numbers(&[op.id, u64::from(op.volume), op.piece, u64::from(op.write), u64::from(op.units)]);
    digest.numbers(&[u64::from(op.shard), u64::from(op.hosts), op.wait, u64::from(op.tries)]);
}

#[test]
fn clients_draw_their_operations_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let wants = Wants {
            rate: 4_000.0,
            posts: 0.3,
            volumes: 20,
            uneven: 6.0,
            again: 3,
            patient: seed % 2 == 0,
            read_wait: 1_000,
            write_wait: 2_000,
            largest: 4,
        };
        let mut callers = Callers::new(wants, 9, 4, &mut rng);
        for volume in 0..20 {
            let volume = callers.volume(volume);
            volume.hosts.iter().for_each(|h| digest.number(u64::from(*h)));
            digest.number(u64::from(volume.limited));
        }
        callers.begin(700);
        for now in (700..60_000).step_by(100) {
            callers.load = if now > 30_000 { 2.0 } else { 1.0 };
            let Some(op) = callers.next(now, &mut rng) else { continue };
            operation(&mut digest, &op);
            let host = callers.host(&op, |h| h % 3 != 0, &mut rng);
            digest.numbers(&[host.map_or(0, |h| u64::from(h) + 1), callers.due()]);
            let named = rng.random_bool(0.3).then_some(5_000);
            let mut tried = op;
            while let Some((at, next)) = callers.again(now, &tried, named, &mut rng) {
                digest.number(at);
                operation(&mut digest, &next);
                tried = next;
            }
        }
    }
    assert_eq!(format!("{:016x}", digest.0), "0eebf65522231b01");
}

fn drawn_job(rng: &mut impl Rng, op: u64) -> Job<u32> {
    Job {
        from: rng.random_range(0..6),
        op,
        units: f64::from(rng.random_range(1..5u32)),
        first: rng.random_bool(0.2),
        excess: rng.random_bool(0.1),
    }
}

#[test]
fn a_simulated_node_serves_and_falls_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let model = Model {
            cold_from: 0.25,
            cold_span: 800_000,
            fall_multiple: 4.0,
            fall_span: 200_000,
            ..Model::quick(2, 10_000.0, 3)
        };
        let mut node = Store::new(model, Manners { lines: 2, handshake: 5_000, down: 300_000 });
        for op in 0..400u64 {
            let now = op * 4_000;
            match rng.random_range(0..100) {
                0 => node.start(now),
                1 => node.stop(),
                2 => node.slow = 1.5,
                3 => node.gone(rng.random_range(0..6)),
                4 => digest.number(u64::from(node.opened())),
                _ => {}
            }
            digest.number(match node.got(now, drawn_job(&mut rng, op)) {
                Got::Queued => 0,
                Got::Full => 1,
                Got::Fell => 2,
            });
            while let Some(done) = node.next(now) {
                digest.numbers(&[done.op, u64::from(done.from)]);
            }
            digest.numbers(&[
                node.due().map_or(0, |due| due + 1),
                u64::from(node.up(now)),
                node.lines as u64,
            ]);
            digest.float(node.warmth(now));
        }
        digest.number(node.falls);
        digest.float(node.most_cold);
    }
    assert_eq!(format!("{:016x}", digest.0), "40c4c261142c5026");
}

#[test]
fn the_cold_start_model_plays_as_recorded() {
    let mut digest = Digest::new();
    for (hosts, told, down, running) in
        [(40, Some(25_000), 0, false), (60, None, 4_000_000, true), (60, Some(0), 2_000_000, false)]
    {
        let case = model::Case { hosts, takes: 25_000, told, down, running };
        let outcome = model::run(case, 9, 600_000_000);
        digest.numbers(&[outcome.calls, outcome.turned_away, outcome.most_waiting as u64]);
        digest.numbers(&outcome.fresh);
        for second in &outcome.seconds {
            digest.numbers(&[second.second, second.calls, second.waiting as u64, u64::from(second.fresh)]);
        }
        digest.numbers(&[outcome.fresh_at(0.5).unwrap_or(0), outcome.fresh_by(3_000_000) as u64]);
    }
    assert_eq!(format!("{:016x}", digest.0), "8b12ea733e600aa3");
}
