//! Pinned form of the command line: subcommands, arguments and defaults that users and scripts depend on.
use crate::digest::assert_pinned;
use std::fmt::Write;
use std::process::Command;

/// Returns the form of a help text: usage, subcommands, arguments, options and defaults, without their descriptions.
fn help_form(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"))
        .args(args)
        .arg("--help")
        .output()
        .expect("cannot run the program");
    let text = String::from_utf8(output.stdout).expect("help text is not UTF-8");
    let mut out = String::new();
    for line in text.lines() {
        if let Some(usage) = line.strip_prefix("Usage: mallowseam-testbed") {
            // The digests were recorded under the program's earlier name.
            writeln!(out, "Usage: mallowseam-lab{usage}")
                .expect("writing to a string does not fail");
        } else if let Some(entry) = line.strip_prefix("  ") {
            let name = entry.trim_start().split("  ").next().unwrap_or_default();
            let default = entry.split("[default: ").nth(1).unwrap_or_default();
            writeln!(out, "{name} = {default}").expect("writing to a string does not fail");
        }
    }
    out
}

/// Entry of the subcommand `soak` in the overview of subcommands.
const SOAK_ENTRY: &str = "soak = \n";

#[test]
fn command_line_has_its_recorded_form() {
    // The digest of the overview was recorded before `soak` existed.
    let overview = help_form(&[]);
    assert!(overview.contains(SOAK_ENTRY));
    assert_pinned(
        "help",
        &overview.replace(SOAK_ENTRY, ""),
        0xe76b_af9c_b3cf_ff99,
    );
    let lines: [(&[&str], u64); 11] = [
        (&["soak"], 0x90c0_0e8d_a8ed_d922),
        (&["demo"], 0x97a2_b2de_2fb1_b5bd),
        (&["rehearse"], 0xcefe_5b05_8b7e_b664),
        (&["model"], 0x7e83_3246_d011_8b9e),
        (&["model", "fleet-view"], 0x0bbb_9d22_4cf2_facd),
        (&["model", "cold-start"], 0xc99c_986a_7b5e_fcd9),
        (&["search", "fleet-view"], 0x9c71_8587_b659_d21d),
        (&["shares-check"], 0x4cd0_c544_8fff_a569),
        (&["shares-day"], 0x8835_b370_66dd_ec8a),
        (&["bench"], 0x309c_d6dd_3a70_7649),
        (&["bench-snapshots"], 0x63f8_cb5d_1dec_ba7f),
    ];
    for (args, expected) in lines {
        assert_pinned(
            &format!("help {}", args.join(" ")),
            &help_form(args),
            expected,
        );
    }
}
