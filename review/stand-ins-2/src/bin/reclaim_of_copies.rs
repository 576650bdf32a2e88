//! The snapshot catalog is stopped for maintenance and started again, while clients go on. Rule: blocks that were
//! written and answered with GOOD read as they were written.
use review_stand_ins_2::process::SIGTERM;
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{
    Site, client, host_address, node_address, read, service_address, status, write,
};
use std::time::{Duration, Instant};

const EXTENT: u64 = 32;
const EXTENTS: u64 = 4;

fn configuration(site: &Site) -> String {
    let d = site.folder.path("");
    let d = d.display();
    let nodes: String = (0..2)
        .map(|n| {
            format!(
                "node node{n}\n  address {}\n  target iqn.t:node{n}\n",
                node_address(n)
            )
        })
        .collect();
    format!(
        "host gw0\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw0.sock\"\n  node-list static\n  \
         window 32\n  connections 40\n  longest 1MiB\n\
         fleet\n  hosts 1\n  unit 4KiB\n  mean-units 2\n  largest-units 8\n  submits 3\n  order-rest 200ms\n\
         catalog\n  listen {}\n  store \"{d}store\"\n  control \"{d}catalog.sock\"\n  extent {EXTENT}\n  copies copy\n\
         plan standard\n  reserve 500/s\n\
         group lookup\n  effect idempotent\n  goal 200ms\n  hard-limit 1s\n\
         group post\n  effect side-effecting\n  goal 250ms\n  hard-limit 2s\n  ordered\n\
         group copy\n  effect idempotent\n  goal 200ms\n  hard-limit 1s\n\
         volume a\n  lun 0\n  plan standard\n  blocks 512\n  block-size 512B\n  hosts 1\n  mapped\n  rule read lookup\n  \
         rule write post key 8\n{nodes}",
        host_address(0),
        service_address(),
    )
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(2);
    site.folder.write("conf0", &configuration(&site));
    site.start_catalog();
    site.start_host(0);
    std::thread::sleep(Duration::from_millis(500));
    let mut desk = client(0, 1);
    let post = |desk: &mut _, id: u64, lba: u64, blocks: u32| {
        let answer = write(desk, 0, id, lba, blocks).unwrap_or_else(|e| not_run(&e.to_string()));
        record.line(&format!(
            "client  post {id} of {blocks} blocks at {lba}: status {}",
            answer.status
        ));
        answer.status == status::GOOD
    };
    // A post that is shed is tried again, as its status allows.
    let post_until_good = |desk: &mut _, id: u64, lba: u64, blocks: u32| {
        let began = Instant::now();
        while !post(desk, id, lba, blocks) {
            if began.elapsed() > Duration::from_secs(15) {
                not_run("a post is not served");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    // Every block of four extents holds post 1.
    for block in (0..EXTENT * EXTENTS).step_by(8) {
        post_until_good(&mut desk, 1, block, 8);
    }
    let granted = site
        .catalog("snapshot a month-end")
        .unwrap_or_else(|e| not_run(&e));
    record.line(&format!("operator takes a snapshot: {granted}"));
    post_until_good(&mut desk, 2, 0, 1);
    // Maintenance as docs/operators.md describes it: the catalog is stopped, `verify --reclaim`, started again.
    let mut catalog = site.service.take().unwrap_or_else(|| not_run("no catalog"));
    catalog.signal(SIGTERM);
    let began = Instant::now();
    while catalog.is_running() {
        if began.elapsed() > Duration::from_secs(5) {
            not_run("the catalog does not stop");
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    record.line("operator has stopped the catalog");
    // Meanwhile a client posts to the second extent, for the first time since the snapshot.
    let at_once = post(&mut desk, 3, EXTENT, 1);
    if trouble() {
        let (succeeded, text) = site.operator(&["verify"], "conf0", &["--reclaim"]);
        record.line(&format!(
            "operator runs `verify --reclaim`: {succeeded}: {}",
            text.replace('\n', "; ")
        ));
    }
    drop(catalog);
    site.start_catalog();
    record.line("operator has started the catalog");
    if !at_once {
        post_until_good(&mut desk, 3, EXTENT, 1);
    }
    let began = Instant::now();
    let shown = loop {
        match read(&mut desk, 0, 0, (EXTENT * EXTENTS) as u32) {
            Ok(shown) => break shown,
            Err(e) if began.elapsed() > Duration::from_secs(15) => not_run(&e),
            Err(_) => std::thread::sleep(Duration::from_millis(100)),
        }
    };
    record.line(&format!("volume   shows: {shown:?}"));
    let expected = |block: usize| match block as u64 {
        0 => 2,
        EXTENT => 3,
        _ => 1,
    };
    let lost: Vec<usize> = (0..shown.len())
        .filter(|block| shown[*block] != Some(expected(*block)))
        .collect();
    record.say(&format!(
        "{} blocks answered with GOOD, {} of them lost: {lost:?}",
        shown.len(),
        lost.len()
    ));
    drop(site);
    if !lost.is_empty() {
        record.say("BROKEN: blocks that were written and answered with GOOD do not read as they were written");
    }
    std::process::exit(if lost.is_empty() { HELD } else { BROKEN });
}
