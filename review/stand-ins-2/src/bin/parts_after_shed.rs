//! A volume asks for more than its limit, and a command of three parts is shed. Rules: a shed reply is given only if
//! nothing has run, nothing more is sent after it, and no side-effecting block I/O runs twice.
use mallowseam_audit::trace::TraceEvent;
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{Site, client, host_address, node_address, status, write};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Largest amount that the volume may send at once, in units of one block I/O of 4 KiB.
const BURST: u64 = 16;
const ROUNDS: u64 = 4;
/// First block of the command, and its length: the last index block, a page of the journal, and a block of the ledger.
const FIRST: u64 = 7;
const BLOCKS: u32 = 10;
const LEDGER: u64 = 16;

fn configuration(site: &Site) -> String {
    let d = site.folder.path("");
    let d = d.display();
    format!(
        "host gw0\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw0.sock\"\n  node-list static\n  \
         window 32\n  connections 40\n  longest 1MiB\n\
         fleet\n  hosts 1\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\n  order-rest 200ms\n\
         plan basic\n  usual 1/s\n  limit 2/s burst {BURST}\n\
         group index\n  effect idempotent\n  goal 250ms\n  hard-limit 1s\n\
         group journal\n  effect side-effecting\n  goal 250ms\n  hard-limit 2s\n  ordered\n\
         group ledger\n  effect side-effecting\n  goal 1s\n  hard-limit 2s\n  ordered\n\
         volume a\n  lun 0\n  plan basic\n  blocks 4096\n  block-size 512B\n  hosts 1\n  extent 0 4096 node0 at 0\n  \
         rule read index\n  rule write blocks 0-7 index\n  rule write blocks 8-15 journal key 8\n  \
         rule write ledger key 8\nnode node0\n  address {}\n  target iqn.t:node0\n",
        host_address(0),
        node_address(0),
    )
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(1);
    site.folder.write("conf0", &configuration(&site));
    site.start_host(0);
    // The limit fills from nothing after a start of the host.
    std::thread::sleep(Duration::from_millis(BURST * 500 + 500));
    let mut counter = client(0, 1);
    let send = |counter: &mut _, id: u64, lba: u64, blocks: u32| {
        let answer = write(counter, 0, id, lba, blocks).unwrap_or_else(|e| not_run(&e.to_string()));
        record.line(&format!(
            "client  write {id} of {blocks} blocks at {lba}: status {}",
            answer.status
        ));
        answer.status
    };
    let mut shed = Vec::new();
    let mut answered_at: BTreeMap<u64, u64> = BTreeMap::new();
    for round in 0..ROUNDS {
        if trouble() {
            // The surge: the volume writes as fast as it is answered, until a write has to wait for the limit.
            for other in 1_000 * (round + 1)..1_000 * (round + 1) + 64 {
                let began = Instant::now();
                send(&mut counter, other, 512 + other % 8 * 8, 8);
                if began.elapsed() > Duration::from_millis(100) {
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(600));
        }
        let id = 100 + round;
        let began = Instant::now();
        loop {
            let got = send(&mut counter, id, FIRST, BLOCKS);
            if got == status::BUSY {
                shed.push(id);
                answered_at.entry(id).or_insert(site.trace.now());
                // The client tries again after a wait: BUSY says that this is harmless.
                std::thread::sleep(Duration::from_millis(1_500));
            } else {
                break;
            }
            if began.elapsed() > Duration::from_secs(15) {
                break;
            }
        }
        if !trouble() {
            std::thread::sleep(Duration::from_millis(1_600));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    // Runs of the ledger block of each command.
    let mut runs: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut open: BTreeMap<(u32, u64, u32), (u64, u64)> = BTreeMap::new();
    for entry in site.trace.take() {
        match entry.event {
            TraceEvent::NodeReceived {
                node,
                connection,
                task,
                write: true,
                lba,
                blocks,
                write_ids,
                ..
            } => {
                let id = write_ids.first().copied().unwrap_or(0);
                record.line(&format!(
                    "trace {} us: node{node} gets write {id}: {lba}+{blocks}",
                    entry.at
                ));
                open.insert((node, connection, task), (id, lba));
            }
            TraceEvent::NodeAnswered {
                node,
                connection,
                task,
                status: 0,
            } => {
                if let Some((id, lba)) = open.remove(&(node, connection, task))
                    && lba == LEDGER
                    && (100..1_000).contains(&id)
                {
                    runs.entry(id).or_default().push(entry.at);
                }
            }
            _ => {}
        }
    }
    let (mut after, mut twice) = (0, 0);
    for id in 100..100 + ROUNDS {
        let ran = runs.get(&id).cloned().unwrap_or_default();
        if let Some(answered) = answered_at.get(&id)
            && let Some(run) = ran.iter().find(|run| *run > answered)
            && ran.len() > 1
        {
            after += 1;
            record.say(&format!(
                "write {id}: its ledger block ran {} ms after the shed reply",
                (run - answered) / 1_000
            ));
        }
        if ran.len() > 1 {
            twice += 1;
            record.say(&format!(
                "BROKEN: the ledger block of write {id}, side-effecting, ran {} times",
                ran.len()
            ));
        }
    }
    record.say(&format!("{ROUNDS} commands, {} shed replies; {after} ran in part after one, {twice} ran twice in part", shed.len()));
    drop(site);
    if trouble() && shed.is_empty() {
        not_run("no command was shed");
    }
    std::process::exit(if twice > 0 { BROKEN } else { HELD });
}
