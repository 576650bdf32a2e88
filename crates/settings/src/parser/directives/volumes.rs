//! Directives of sections `volume` and `node`.
use super::values::{
    A_BLOCK, A_BLOCK_COUNT, AN_ADDRESS, AN_ISCSI_NAME, MAX_BLOCKS, Recognized, host_count, lun,
    set, small_integer, unknown,
};
use crate::arguments::Arguments;
use crate::config::{Direction, Extent, Node};
use crate::parser::draft::{BlockRange, DraftRule, DraftVolume};
use crate::tokens::Token;

/// Reads a directive of section `volume`.
pub(super) fn volume(draft: &mut DraftVolume, name: &str, args: &mut Arguments) -> Recognized {
    let volume = &mut draft.volume;
    match name {
        "lun" => set(&mut volume.lun, lun(args)),
        "plan" => draft.plan = args.name("the name of a plan"),
        "blocks" => set(
            &mut volume.block_count,
            args.integer(A_BLOCK_COUNT, 1, MAX_BLOCKS),
        ),
        "block-size" => {
            let size = args.value("512B or 4KiB", |text| match text {
                "512B" => Some(512),
                "4KiB" => Some(4096),
                _ => None,
            });
            set(&mut volume.block_size, size);
        }
        "mapped" => volume.mapped = true,
        "hosts" => set(&mut volume.host_count, host_count(args)),
        "extent" => draft.extents.extend(extent(args)),
        "rule" => draft.rules.extend(rule(args)),
        _ => return unknown("lun, plan, blocks, block-size, hosts, extent or mapped, rule"),
    }
    Ok(())
}

/// Reads `extent FIRST BLOCKS NODE at NODE-FIRST`, and returns the extent with the name of its node.
fn extent(args: &mut Arguments) -> Option<(Extent, Token)> {
    let first_block = args.integer(A_BLOCK, 0, MAX_BLOCKS);
    let block_count = args.integer(A_BLOCK_COUNT, 1, MAX_BLOCKS);
    let node = args.name("the name of a node");
    let first_node_block = if args.accept("at") {
        args.integer(A_BLOCK, 0, MAX_BLOCKS)
    } else {
        None
    };
    if first_node_block.is_none() {
        args.reject("at BLOCK");
    }
    let extent = Extent {
        first_block: first_block?,
        block_count: block_count?,
        node: 0,
        first_node_block: first_node_block?,
    };
    Some((extent, node?))
}

/// Reads `rule read|write|any [blocks FIRST-LAST] GROUP [key BLOCKS]`.
fn rule(args: &mut Arguments) -> Option<DraftRule> {
    let position = args.position();
    let direction = args.value("read, write or any", |text| match text {
        "read" => Some(Direction::Read),
        "write" => Some(Direction::Write),
        "any" => Some(Direction::Any),
        _ => None,
    });
    let range = if args.accept("blocks") {
        args.value("FIRST-LAST", parse_range)
    } else {
        None
    };
    let io_class = args.name("the name of a group");
    let blocks_per_key = if args.accept("key") {
        args.integer("a number of blocks per ordering key", 1, MAX_BLOCKS)
    } else {
        Some(0)
    };
    Some(DraftRule {
        position,
        direction: direction?,
        range,
        io_class: io_class?,
        blocks_per_key: blocks_per_key?,
    })
}

fn parse_range(text: &str) -> Option<BlockRange> {
    let (first, last) = text.split_once('-')?;
    let range = BlockRange {
        first: first.parse().ok()?,
        last: last.parse().ok()?,
    };
    (range.first <= range.last).then_some(range)
}

/// Reads a directive of section `node`.
pub(super) fn node(node: &mut Node, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "address" => node.address = args.address(AN_ADDRESS),
        "target" => set(&mut node.target, args.name(AN_ISCSI_NAME).map(|t| t.text)),
        "lun" => set(&mut node.lun, lun(args)),
        "zone" => set(&mut node.zone, args.name("a name").map(|t| t.text)),
        "shard" => set(
            &mut node.shard,
            small_integer(args, "0 to 65535", 0, 65_535),
        ),
        _ => return unknown("address, target, lun, zone, shard"),
    }
    Ok(())
}
