//! The directives of each section, which `docs/configuration.md` lists.
//!
//! - `host`, `fleet`, `services`, `plans`, `volumes`: the directives of one or two kinds of sections.
//! - `values`: values and diagnostic texts that directives of several sections share.
mod fleet;
mod host;
mod plans;
mod services;
mod values;
mod volumes;

use super::draft::{Draft, SectionKind};
use crate::arguments::Arguments;
use values::Recognized;

/// Reads a directive of the section that was opened last.
pub(super) fn read(
    draft: &mut Draft,
    kind: SectionKind,
    name: &str,
    args: &mut Arguments,
) -> Recognized {
    const OPEN: &str = "the section is open";
    match kind {
        SectionKind::Host => host::host(&mut draft.host.as_mut().expect(OPEN).value, name, args),
        SectionKind::Fleet => {
            fleet::fleet(&mut draft.fleet.as_mut().expect(OPEN).value, name, args)
        }
        SectionKind::Catalog => services::catalog(draft.catalog.as_mut().expect(OPEN), name, args),
        SectionKind::PlanService => {
            services::plan_service(draft.plan_service.as_mut().expect(OPEN), name, args)
        }
        SectionKind::Plan => {
            plans::plan(&mut draft.plans.last_mut().expect(OPEN).value, name, args)
        }
        SectionKind::IoClass => plans::io_class(
            &mut draft.io_classes.last_mut().expect(OPEN).value,
            name,
            args,
        ),
        SectionKind::Volume => volumes::volume(draft.volumes.last_mut().expect(OPEN), name, args),
        SectionKind::Node => {
            volumes::node(&mut draft.nodes.last_mut().expect(OPEN).value, name, args)
        }
    }
}
