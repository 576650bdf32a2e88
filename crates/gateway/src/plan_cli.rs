//! `mallowseam plan`: what an operator asks of the control service.
use crate::cli::{self, BAD_FILE, By, FAILED, PlanWhat};
use crate::tariffs::Asked;
use mallowseam_plans::state::{Change, Plan, State};
use std::path::Path;

/// Asks the control service; its answer. Errors: code and words.
pub(crate) fn run(what: PlanWhat) -> Result<String, (u8, String)> {
    let set = |change, expected, by: By| Asked::Set {
        change,
        expected,
        author: by.author,
        reason: by.reason,
        dry: by.dry_run,
        wait: by.wait,
    };
    let (file, asked) = match what {
        PlanWhat::Set { file, plan, figures, expected, by } => {
            // What is not named stays as it stands, so the change is made for the version it was read from.
            let state: State = serde_json::from_str(&ask(&file, &Asked::Show { version: expected })?)
                .map_err(|e| (FAILED, format!("the service's answer: {e}")))?;
            let mut stands = state.plans.get(&plan).cloned().unwrap_or(Plan {
                weight: 1_000,
                price: 1_000,
                ..Plan::default()
            });
            let wrong: Vec<String> = figures.iter().filter_map(|f| figure(&mut stands, f).err()).collect();
            if !wrong.is_empty() {
                return Err((BAD_FILE, wrong.join("\n")));
            }
            let change = Change::SetPlan { name: plan, plan: stands };
            (file, set(change, Some(expected.unwrap_or(state.version)), by))
        }
        PlanWhat::Of { file, volume, plan, by } => (file, set(Change::AssignPlan { volume, plan }, None, by)),
        PlanWhat::Drop { file, plan, by } => (file, set(Change::RemovePlan { name: plan }, None, by)),
        PlanWhat::Show { file, version } => (file, Asked::Show { version }),
        PlanWhat::History { file, from, most } => (file, Asked::History { from, most }),
        PlanWhat::Diff { file, one, other } => (file, Asked::Diff { one, other }),
        PlanWhat::Undo { file, version, by } => {
            let By { author, reason, dry_run: dry, wait } = by;
            (file, Asked::Undo { version, author, reason, dry, wait })
        }
        PlanWhat::Hosts { file } => (file, Asked::Hosts),
        PlanWhat::Gone { file, host } => (file, Asked::Gone { host }),
        PlanWhat::Replay { file } => (file, Asked::Replay),
    };
    ask(&file, &asked)
}

fn ask(file: &Path, asked: &Asked) -> Result<String, (u8, String)> {
    let line = serde_json::to_string(asked).expect("plain");
    cli::ask(file, "tariffs", |site| site.plan_service?.control_socket, &line)
}

/// Puts `NAME=NUMBER` into a plan. Error: what was expected.
fn figure(plan: &mut Plan, text: &str) -> Result<(), String> {
    let expected =
        || format!("`{text}`: expected usual, reserve, limit, burst, weight or price, =, and a number");
    let (name, number) = text.split_once('=').ok_or_else(expected)?;
    let number: f64 = number.parse().map_err(|_| expected())?;
    if !(0.0..=1e9).contains(&number) {
        return Err(format!("`{text}`: expected a number from 0 to a thousand million"));
    }
    let place = match name {
        "usual" => &mut plan.usual,
        "reserve" => &mut plan.reserve,
        "limit" => &mut plan.limit,
        "burst" => &mut plan.burst,
        "weight" => &mut plan.weight,
        "price" => &mut plan.price,
        _ => return Err(expected()),
    };
    *place = (number * 1000.0).round() as u64;
    Ok(())
}
