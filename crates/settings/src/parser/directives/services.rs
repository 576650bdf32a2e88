//! Directives of sections `catalog` and `tariffs`.
use super::values::{A_PATH, AN_ADDRESS, Recognized, set, unknown};
use crate::arguments::Arguments;
use crate::config::PlanService;
use crate::parser::draft::DraftCatalog;

/// Reads a directive of section `catalog`.
pub(super) fn catalog(draft: &mut DraftCatalog, name: &str, args: &mut Arguments) -> Recognized {
    let catalog = &mut draft.catalog;
    match name {
        "listen" => catalog.listen = args.address(AN_ADDRESS),
        "store" => set(&mut catalog.store_path, args.text(A_PATH).map(Into::into)),
        "control" => catalog.control_socket = args.text(A_PATH).map(Into::into),
        "extent" => {
            set(
                &mut catalog.extent_blocks,
                args.integer("a number of blocks from 1 to 65536", 1, 65_536),
            );
        }
        "copies" => draft.copy_class = args.name("the name of a group"),
        _ => return unknown("listen, store, control, extent, copies"),
    }
    Ok(())
}

/// Reads a directive of section `tariffs`.
pub(super) fn plan_service(
    service: &mut PlanService,
    name: &str,
    args: &mut Arguments,
) -> Recognized {
    match name {
        "listen" => service.listen = args.address(AN_ADDRESS),
        "store" => set(&mut service.store_path, args.text(A_PATH).map(Into::into)),
        "control" => service.control_socket = args.text(A_PATH).map(Into::into),
        _ => return unknown("listen, store, control"),
    }
    Ok(())
}
