//! Start, drain, restart, reload, membership and command line of a host.
use crate::site::{Site, TARGET, mallowseam, read, start, write};
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::node::NodeFault;
use mallowseam_testbed::blocking_client::BlockingClient;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

#[test]
fn timer_due_during_start_is_followed_by_later_timers() {
    // With this seed the first timer is due at once. The host reads so long a cached list that the timer is overdue
    // when it is handled, which must not stop later timers.
    let site = Site::with(10.0, |dir, conf| {
        let names = (0..2)
            .map(|n| format!("node{n}"))
            .chain((0..4_000).map(|n| format!("other{n}")));
        let lines: Vec<String> = names
            .map(|name| format!("node {name} active 0 10\n"))
            .collect();
        let cached_list = dir.join("kept");
        std::fs::write(&cached_list, format!("kept 4002\n{}end\n", lines.concat()))
            .expect("cannot write the file");
        let service = format!(
            "node-list 127.0.0.1:9\n  kept-list \"{}\"",
            cached_list.display()
        );
        conf.replace("node-list static", &service)
            .replace("seed 1\n", "seed 3879\n")
    });
    site.nodes[0].inject(NodeFault::Silent(true));
    let mut client = site.client(1);
    for id in 1..40 {
        client.conn.send_command(
            id,
            0,
            &scsi::read_or_write_16(false, 0, 8, 0),
            4096,
            vec![].into(),
        );
    }
    client.flush().expect("cannot send to the host");
    let began = Instant::now();
    // Commands queued for the silent node fail at their latency objective of 1 s, which only a timer can cause.
    for _ in 1..40 {
        let Ok(InitiatorEvent::CommandCompleted { status: code, .. }) = client.next_event() else {
            panic!("no answer to a queued read")
        };
        assert_ne!(code, status::GOOD);
    }
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn draining_host_rejects_logins_and_completes_commands_in_flight() {
    let mut site = Site::new(400_000.0);
    let mut client = site.client(1);
    client.conn.send_command(
        1,
        0,
        &scsi::read_or_write_16(false, 0, 8, 0),
        4096,
        vec![].into(),
    );
    client.flush().expect("cannot send to the host");
    site.wait_for("the read is at the node", |s| s.nodes[0].attempts == 1);
    assert_eq!(
        send_request(&site.control(), "drain").expect("no answer to the request"),
        "draining"
    );
    let refused = BlockingClient::open(site.address, Some(TARGET), 2)
        .err()
        .expect("draining host accepted a login");
    assert!(refused.to_string().contains("0301"), "{refused}");
    assert_eq!(
        send_request(&site.control(), "undrain").expect("no answer to the request"),
        "open"
    );
    site.client(3);
    kill(Pid::from_raw(site.host.id() as i32), Signal::SIGTERM).expect("cannot send the signal");
    let mut answered = false;
    loop {
        match client.next_event() {
            Ok(InitiatorEvent::CommandCompleted { status: code, .. }) => {
                answered = code == status::GOOD;
            }
            Ok(InitiatorEvent::LogoutRequested) if answered => client.conn.send_logout_request(),
            Ok(InitiatorEvent::LogoutRequested | InitiatorEvent::LoggedOut) => {}
            Ok(other) => panic!("{other:?}"),
            Err(_) => break,
        }
        if answered {
            client.conn.send_logout_request();
            let _ = client.flush();
        }
    }
    assert!(answered, "the command in flight did not complete");
    assert!(site.wait_for_exit().success());
    assert!(!site.control().exists(), "the control socket still exists");
}

#[test]
fn killed_host_restarts_and_a_second_host_beside_it_does_not_start() {
    let mut site = Site::new(10.0);
    let mut client = site.client(1);
    assert_eq!(write(&mut client, 4, 0, 8), status::GOOD);
    let file = site.dir.path().join("conf").display().to_string();
    let second = mallowseam(&["run", &file])
        .output()
        .expect("cannot run the program");
    assert_eq!(second.status.code(), Some(1), "{second:?}");
    site.host.kill().expect("cannot kill the process");
    site.host.wait().expect("cannot wait for the process");
    site.host = start(&site.dir);
    assert_eq!(read(&mut site.client(1), 0, 8), [Some(4); 8]);
}

#[test]
fn command_line_reports_errors_with_exit_codes() {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let file = dir.path().join("conf");
    std::fs::write(&file, "host gw0\n  listen nowhere\n  windows 3\n")
        .expect("cannot write the file");
    let path = file.display().to_string();
    let run =
        |args: &[&str]| -> Output { mallowseam(args).output().expect("cannot run the program") };
    let text = |o: &Output| String::from_utf8_lossy(&o.stderr).into_owned();
    for subcommand in ["check", "run"] {
        let failed = run(&[subcommand, &path]);
        assert_eq!(failed.status.code(), Some(2));
        assert!(
            text(&failed).contains("conf:2:10: expected an address and port"),
            "{}",
            text(&failed)
        );
        assert!(
            text(&failed).contains("conf:3:3: expected a directive of section `host`"),
            "{}",
            text(&failed)
        );
    }
    let missing = run(&["status", "--control", "/nonexistent/sock"]);
    assert_eq!(missing.status.code(), Some(1));
    assert_eq!(run(&["status"]).status.code(), Some(2));
    let site = Site::new(10.0);
    let path = site.dir.path().join("conf").display().to_string();
    let status = run(&["status", &path]);
    let shown = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(
        status.status.success() && shown.contains("node1"),
        "{shown}"
    );
}

#[test]
fn reload_applies_plans_and_rejects_other_changes() {
    let site = Site::new(50.0);
    let mut client = site.client(0);
    assert_eq!(write(&mut client, 1, 0, 8), status::GOOD);
    let file = site.dir.path().join("conf");
    let text = std::fs::read_to_string(&file).expect("cannot read the file");
    let reload = || {
        let out = mallowseam(&["reload", &file.display().to_string()])
            .output()
            .expect("cannot run the program");
        (
            out.status.success(),
            String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
        )
    };
    assert_eq!(reload(), (true, "nothing is different\n".into()));
    let low_limit = "plan free\n  reserve 1/s\n  weight 4\n  limit 1/s burst 8\n";
    std::fs::write(
        &file,
        text.replace("plan free\n  reserve 9999/s\n", low_limit),
    )
    .expect("cannot write the file");
    let (succeeded, output) = reload();
    assert!(
        succeeded && output.contains("plan free: reserve 1 instead of 9999, limit 1"),
        "{output}"
    );
    let plan = &site.status().plans[0];
    assert_eq!((plan.reserve, plan.limit, plan.weight), (1.0, 1.0, 4.0));
    // The token bucket is empty and refills by one unit per second, and each of the twenty writes in a row waits for at
    // most half a second.
    let shed = (0..20)
        .filter(|i| write(&mut client, 2 + i, 8 * i, 8) == status::BUSY)
        .count();
    assert!((10..=17).contains(&shed), "{shed} of 20 writes were shed");
    std::fs::write(
        &file,
        text.replace("longest 1MiB", "longest 2MiB")
            .replace("9999/s", "5/s"),
    )
    .expect("cannot write the file");
    let (succeeded, output) = reload();
    assert!(
        !succeeded && output.contains("section host: cannot be changed"),
        "{output}"
    );
    assert_eq!(
        site.status().plans[0].reserve,
        1.0,
        "a rejected reload changed a plan"
    );
    std::fs::write(&file, &text).expect("cannot write the file");
    assert!(reload().0);
    assert!((0..20).all(|i| write(&mut client, 50 + i, 8 * i, 8) == status::GOOD));
}

#[test]
fn recorded_demand_is_replayed_against_placements() {
    let site = Site::new(50.0);
    let file = site.dir.path().join("conf").display().to_string();
    let recorder = mallowseam(&["demand", &file, "--every", "1", "--count", "2"])
        .stdout(Stdio::piped())
        .spawn();
    let recorder = recorder.expect("cannot run the program");
    let mut client = site.client(0);
    let began = Instant::now();
    let mut id = 0;
    while began.elapsed() < Duration::from_millis(2_500) {
        id += 1;
        assert_eq!(write(&mut client, id, 0, 8), status::GOOD);
        std::thread::sleep(Duration::from_millis(2));
    }
    let out = recorder
        .wait_with_output()
        .expect("cannot wait for the recorder");
    let record = String::from_utf8_lossy(&out.stdout).into_owned();
    let demand = record
        .lines()
        .filter(|l| l.contains(" a asked "))
        .filter_map(|l| {
            l.split(' ')
                .nth(4)?
                .trim_end_matches("/s")
                .parse::<f64>()
                .ok()
        });
    let demand: Vec<f64> = demand.collect();
    assert!(
        demand.len() == 2 && demand.iter().all(|a| *a > 10.0),
        "{record}"
    );
    let write_file = |name: &str, text: &str| {
        let path = site.dir.path().join(name);
        std::fs::write(&path, text).expect("cannot write the file");
        path.display().to_string()
    };
    let problem = write_file(
        "p",
        "node n\n  capacity 5/s\nnode m\n  capacity 1000/s\nvolume a\n  reserve 1/s\nvolume b\n",
    );
    let (worse, better) = (
        write_file("one", "place a n\nplace b m\n"),
        write_file("two", "place a m\nplace b n\n"),
    );
    let record = write_file("log", &record);
    let out = mallowseam(&["shares", "replay", &problem, &record, &worse, &better])
        .output()
        .expect("cannot run the program");
    let output = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
    let last_column: Vec<&str> = output
        .lines()
        .skip(1)
        .take(2)
        .filter_map(|l| l.split_whitespace().last())
        .collect();
    assert_eq!(last_column, ["0", "2"], "{output}");
}

#[test]
fn hosts_find_each_other_and_see_a_terminated_one_leave() {
    use mallowseam_fleet::MemberState;
    use mallowseam_fleet_udp::query_membership;
    let fleet_address = |n: u8| SocketAddr::from(([127, 219, std::process::id() as u8, n], 7000));
    let site_with_fleet = |n: u8| {
        Site::with(10.0, |_, conf| {
            let line = format!(
                "  fleet south listen {} seed {} zone z{n} period 100ms\n",
                fleet_address(n),
                fleet_address(3 - n)
            );
            conf.replacen("host gw0\n", &format!("host gw{n}\n{line}"), 1)
        })
    };
    let (one, mut other) = (site_with_fleet(1), site_with_fleet(2));
    let wait_until_sees = |n: u8, name: &str, state: MemberState| {
        let began = Instant::now();
        loop {
            let seen = query_membership(fleet_address(n)).ok();
            let seen = seen.and_then(|v| {
                v.members
                    .iter()
                    .find(|m| m.record.name == name)
                    .map(|m| m.state)
            });
            if seen == Some(state) {
                return began.elapsed();
            }
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "host {n} sees {name} as {seen:?}, expected {state:?}"
            );
        }
    };
    wait_until_sees(1, "gw2", MemberState::Alive);
    wait_until_sees(2, "gw1", MemberState::Alive);
    let _client = other.client(1);
    kill(Pid::from_raw(other.host.id() as i32), Signal::SIGTERM).expect("cannot send the signal");
    assert!(wait_until_sees(1, "gw2", MemberState::Leaving) < Duration::from_millis(650));
    kill(Pid::from_raw(other.host.id() as i32), Signal::SIGTERM).expect("cannot send the signal");
    assert!(other.wait_for_exit().success());
    wait_until_sees(1, "gw2", MemberState::Left);
    let shown = |args: &[&str]| {
        let out = mallowseam(args).output().expect("cannot run the program");
        (
            out.status.success(),
            String::from_utf8_lossy(&out.stdout).into_owned(),
        )
    };
    let at = fleet_address(1).to_string();
    let (succeeded, table) = shown(&["fleet", &at]);
    assert!(
        succeeded && table.contains("gw2") && table.contains("left") && table.contains("1 alive"),
        "{table}"
    );
    let (succeeded, json) = shown(&["fleet", &at, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("invalid JSON");
    assert!(
        succeeded && json["members"].as_array().is_some_and(|m| m.len() == 2),
        "{json}"
    );
    assert!(
        shown(&["fleet", &at, &at, "--agree"]).0,
        "a host does not agree with itself"
    );
    assert!(
        !shown(&["fleet", &fleet_address(2).to_string()]).0,
        "a host that has left answered"
    );
    drop(one);
}
