//! A clone is deleted and made anew under its name while a write to it waits. Rule: a clone starts as its snapshot, and
//! shows no write that was not sent to it.
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{
    Site, client, host_address, node_address, read, service_address, status, write,
};
use std::time::{Duration, Instant};

const EXTENT: u64 = 64;

fn configuration(site: &Site) -> String {
    let d = site.folder.path("");
    let d = d.display();
    format!(
        "host gw0\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw0.sock\"\n  node-list static\n  \
         window 32\n  connections 40\n  longest 1MiB\n\
         fleet\n  hosts 1\n  unit 4KiB\n  mean-units 2\n  largest-units 8\n  submits 4\n\
         catalog\n  listen {}\n  store \"{d}store\"\n  control \"{d}catalog.sock\"\n  extent {EXTENT}\n  copies copy\n\
         plan basic\n  usual 4/s\n  limit 16/s burst 64\n\
         group read\n  effect idempotent\n  goal 1s\n  hard-limit 4s\n\
         group write\n  effect idempotent\n  goal 4s\n  hard-limit 6s\n\
         group copy\n  effect idempotent\n  goal 2s\n  hard-limit 4s\n\
         volume a\n  lun 0\n  plan basic\n  blocks 512\n  block-size 512B\n  hosts 1\n  mapped\n  rule read read\n  \
         rule write write\nnode node0\n  address {}\n  target iqn.t:node0\n",
        host_address(0),
        service_address(),
        node_address(0),
    )
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(1);
    site.folder.write("conf0", &configuration(&site));
    site.start_catalog();
    site.start_host(0);
    std::thread::sleep(Duration::from_millis(4_500));
    let mut desk = client(0, 1);
    let put = |desk: &mut _, lun: u32, id: u64, blocks: u32| {
        let answer = write(desk, lun, id, 0, blocks).unwrap_or_else(|e| not_run(&e.to_string()));
        record.line(&format!(
            "client  write {id} of {blocks} blocks to LUN {lun}: status {}",
            answer.status
        ));
        answer.status
    };
    let ask = |request: &str| {
        let answer = site.catalog(request).unwrap_or_else(|e| not_run(&e));
        record.line(&format!("operator `{request}`: {answer}"));
        answer
            .rsplit(' ')
            .next()
            .and_then(|n| n.parse::<u32>().ok())
            .unwrap_or(0)
    };
    if put(&mut desk, 0, 1, 64) != status::GOOD {
        not_run("write 1 is not served");
    }
    ask("snapshot a monday");
    let old = ask("clone a@monday trial");
    // The clone gets its own copy of the extent; then the limit is used up.
    for _ in 0..8 {
        put(&mut desk, old, 5, 64);
    }
    let waiting = std::thread::spawn(move || {
        let mut client = client(0, 2);
        write(&mut client, old, 2, 0, 56).map(|answer| answer.status)
    });
    std::thread::sleep(Duration::from_millis(100));
    ask("delete trial");
    // TROUBLE=0: the new clone gets another name.
    let new = ask(if trouble() {
        "clone a@monday trial"
    } else {
        "clone a@monday trial-2"
    });
    let answered = waiting
        .join()
        .expect("no panic")
        .unwrap_or_else(|e| not_run(&e.to_string()));
    record.line(&format!(
        "client  write 2 of 56 blocks to LUN {old}: status {answered}"
    ));
    let began = Instant::now();
    let shown = loop {
        match read(&mut desk, new, 0, 64) {
            Ok(shown) => break shown,
            Err(e) if began.elapsed() > Duration::from_secs(15) => not_run(&e),
            Err(_) => std::thread::sleep(Duration::from_millis(200)),
        }
    };
    record.line(&format!("LUN {new} shows: {shown:?}"));
    let foreign = shown.iter().any(|id| *id != Some(1));
    record.say(&format!(
        "write 2 to LUN {old}: status {answered}; LUN {new}, never written to, shows it: {foreign}"
    ));
    drop(site);
    if foreign {
        record.say("BROKEN: a clone shows a write that was sent to another unit");
    }
    std::process::exit(if foreign { BROKEN } else { HELD });
}
