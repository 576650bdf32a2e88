//! Runs the plan service with the plans of a configuration.
use crate::error::Error;
use mallowseam_iscsi_host::replicated_plan;
use mallowseam_plans::state::Change;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::Volume;

/// Runs the plan service of a site until SIGTERM, SIGINT or a request to stop.
///
/// # Errors
/// The configuration has no section `tariffs`, or the service cannot start or fails while it runs.
pub(crate) fn run(config: &GatewayConfig) -> Result<(), Error> {
    let settings = config
        .plan_service
        .as_ref()
        .ok_or(Error::MissingSection("tariffs"))?;
    mallowseam_plan_service::run(settings, configured_changes(config))?;
    Ok(())
}

/// Returns the changes that create the plans of a configuration and assign them to its volumes.
fn configured_changes(config: &GatewayConfig) -> Vec<Change> {
    let plans = config.plans.iter().map(|plan| Change::SetPlan {
        name: plan.name.clone(),
        plan: replicated_plan(plan),
    });
    let plan_of = |volume: &Volume| Change::AssignPlan {
        volume: volume.name.clone(),
        plan: config.plans[volume.plan].name.clone(),
    };
    plans.chain(config.volumes.iter().map(plan_of)).collect()
}
