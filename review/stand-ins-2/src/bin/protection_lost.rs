//! A node dies after it has closed a snapshot's layer to writes, and comes back. Rules: a snapshot stays as it was when
//! it was granted, and a write that was answered with GOOD can be read.
use mallowseam_audit::trace::TraceEvent;
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{
    NodeFault, Site, clear_unsaved_mode, client, host_address, node_address, read, service_address,
    status, write,
};
use std::time::{Duration, Instant};

/// Time for which the node is down: 2.4 to 6.4 s at `vadodara-billing`.
const DOWN: Duration = Duration::from_millis(2_500);
const EXTENT: u64 = 64;

fn configuration(site: &Site, host: u8) -> String {
    let d = site.folder.path("");
    let d = d.display();
    format!(
        "host gw{host}\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw{host}.sock\"\n  node-list static\n  \
         window 32\n  connections 40\n  longest 1MiB\n\
         fleet\n  hosts 2\n  unit 4KiB\n  mean-units 2\n  largest-units 8\n  submits 4\n\
         catalog\n  listen {}\n  store \"{d}store\"\n  control \"{d}catalog.sock\"\n  extent {EXTENT}\n  copies copy\n\
         plan basic\n  usual 2/s\n  limit 4/s burst 64\n\
         group read\n  effect idempotent\n  goal 1s\n  hard-limit 4s\n\
         group write\n  effect idempotent\n  goal 6s\n  hard-limit 8s\n\
         group copy\n  effect idempotent\n  goal 1s\n  hard-limit 2s\n\
         volume a\n  lun 0\n  plan basic\n  blocks 512\n  block-size 512B\n  hosts 2\n  mapped\n  rule read read\n  \
         rule write write\nnode node0\n  address {}\n  target iqn.t:node0\n",
        host_address(host),
        service_address(),
        node_address(0),
    )
}

/// Reads blocks, and tries again while the host is over its limit.
fn read_back(
    site: &Site,
    host: u8,
    lun: u32,
    lba: u64,
    blocks: u32,
    record: &Record,
) -> Vec<Option<u64>> {
    let began = Instant::now();
    let _ = site;
    let mut reader = client(host, 70 + u32::from(host));
    loop {
        match read(&mut reader, lun, lba, blocks) {
            Ok(shown) => return shown,
            Err(e) if began.elapsed() > Duration::from_secs(20) => {
                not_run(&format!("read of LUN {lun}: {e}"))
            }
            Err(e) => {
                record.line(&format!("reader  LUN {lun}: {e}, tries again"));
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(1);
    for host in 0..2 {
        site.folder
            .write(&format!("conf{host}"), &configuration(&site, host));
    }
    site.start_catalog();
    (0..2).for_each(|host| site.start_host(host));
    // The hosts' limit fills from nothing after a start: 32 units each.
    std::thread::sleep(Duration::from_millis(16_500));
    let mut first = client(0, 1);
    let put = |client: &mut _, id: u64, lba: u64, blocks: u32| {
        let answer = write(client, 0, id, lba, blocks).unwrap_or_else(|e| not_run(&e.to_string()));
        record.line(&format!(
            "client  write {id} of {blocks} blocks at {lba}: status {}",
            answer.status
        ));
        answer.status
    };
    // Extent 0 holds write 1 in all blocks; then the limit of host 0 is used up by writes to the same extent.
    for _ in 0..4 {
        if put(&mut first, 1, 0, 64) != status::GOOD {
            not_run("the first writes are not served");
        }
    }
    // Write 2 waits at host 0 for the limit: 8 units at 2 units a second.
    let late = std::thread::spawn(move || {
        let mut client = client(0, 2);
        let answer = write(&mut client, 0, 2, 0, 8 * 7);
        answer.map(|answer| answer.status)
    });
    std::thread::sleep(Duration::from_millis(100));
    let granted = site
        .catalog("snapshot a monday")
        .unwrap_or_else(|e| not_run(&e));
    record.line(&format!("operator takes a snapshot: {granted}"));
    let Some(lun) = granted
        .rsplit(' ')
        .next()
        .and_then(|n| n.parse::<u32>().ok())
    else {
        not_run(&granted);
    };
    let before = read_back(&site, 1, lun, 0, 64, &record);
    record.line(&format!("snapshot shows at once: {before:?}"));
    // Write 3 goes to the last block of the extent through host 1, which copies the extent first.
    let mut second = client(1, 3);
    let copied = put(&mut second, 3, 63, 1);
    if copied != status::GOOD {
        not_run(&format!("write 3: status {copied}"));
    }
    if trouble() {
        site.nodes[0].inject(NodeFault::Crash);
        record.line("node0   dies");
        std::thread::sleep(DOWN);
        site.nodes[0].inject(NodeFault::Start);
        let began = Instant::now();
        while !site.nodes[0].lifecycle().up {
            if began.elapsed() > Duration::from_secs(2) {
                not_run("the node does not come back");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let luns: Vec<u32> = (0..2).map(|n| mallowseam_first_layer(&site) + n).collect();
        clear_unsaved_mode(0, &luns);
        record.line("node0   is back, with the default mode pages");
    }
    let answered = late
        .join()
        .expect("no panic")
        .unwrap_or_else(|e| not_run(&e.to_string()));
    record.line(&format!(
        "client  write 2 of 56 blocks at 0: status {answered}"
    ));
    let after = read_back(&site, 1, lun, 0, 64, &record);
    let volume = read_back(&site, 1, 0, 0, 64, &record);
    record.line(&format!("snapshot shows now: {after:?}"));
    record.line(&format!("volume   shows now: {volume:?}"));
    for entry in site.trace.take() {
        if let TraceEvent::NodeReceived {
            lun,
            write,
            lba,
            blocks,
            host,
            write_ids,
            ..
        } = entry.event
        {
            let ids: Vec<u64> = write_ids.first().copied().into_iter().collect();
            record.line(&format!("trace {} us: node0 gets from host {host} LUN {lun} write={write} {lba}+{blocks} {ids:?}", entry.at));
        }
    }
    let changed = before != after;
    let lost = answered == status::GOOD && volume[..56].iter().any(|id| *id != Some(2));
    record.say(&format!("write 2: status {answered}; snapshot changed after its grant: {changed}; write 2 lost from the volume: {lost}"));
    drop(site);
    if answered != status::GOOD && !changed {
        not_run("write 2 was not served");
    }
    if changed || lost {
        record.say("BROKEN: a granted snapshot has changed, or a write that was answered with GOOD cannot be read");
    }
    std::process::exit(if changed || lost { BROKEN } else { HELD });
}

/// Returns the LUN of the first layer at the nodes.
fn mallowseam_first_layer(site: &Site) -> u32 {
    let tree = site.catalog("tree").unwrap_or_else(|e| not_run(&e));
    let layers = tree.split("\"layers\":{\"").nth(1).unwrap_or_default();
    let digits: String = layers.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_else(|_| not_run(&tree))
}
