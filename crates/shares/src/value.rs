//! Whether a placement fits, and what it is worth.
use crate::model::{Problem, SCALE, Wish};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Units inside a volume's share of nine tenths of the spare earn 35 in 100, by the users' own counting; what
/// lies inside the reserve earns all, the rest 10.
pub(crate) const SHARE_PART: i128 = 9;
pub(crate) const SHARE_OF: i128 = 10;
pub(crate) const RESERVE_GAIN: i128 = 100;
pub(crate) const SHARE_GAIN: i128 = 35;
pub(crate) const REST_GAIN: i128 = 10;

/// For each volume, the indices of its nodes in order.
pub type Placement = Vec<Vec<usize>>;

/// What a placement is worth; the greater the better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Worth {
    pub gain: i128,
    pub cost: Reverse<u128>,
    pub moved: Reverse<u128>,
    /// Last of all, the least by name.
    pub order: Reverse<Placement>,
}

/// Rates that reserves ask of each node while some nodes are away, scaled; none where a volume that must
/// survive that has no node left.
fn loads(
    p: &Problem,
    placed: &[(usize, &[usize])],
    wishes: &dyn Fn(Wish) -> bool,
    away: &dyn Fn(usize) -> bool,
    survives: &dyn Fn(usize) -> bool,
) -> Option<Vec<i128>> {
    let mut loads = vec![0; p.nodes.len()];
    for (v, set) in placed {
        // Without a reserve nothing was promised that could be lost.
        if !wishes(Wish::Reserve(*v)) || p.volumes[*v].reserve == 0 {
            continue;
        }
        let reserve = i128::from(p.volumes[*v].reserve) * SCALE;
        let left = set.iter().filter(|n| !away(**n)).count();
        // One that need not survive keeps to its parts on the nodes that are left.
        let among = if survives(*v) { left } else { set.len() };
        if left == 0 {
            if survives(*v) {
                return None;
            }
            continue;
        }
        set.iter().filter(|n| !away(**n)).for_each(|n| loads[*n] += reserve / among as i128);
    }
    Some(loads)
}

/// Whether reserves fit everywhere, for the volumes placed so far: now, and with any one node or zone away.
/// `stretch`: capacities in thousandths of what they are.
pub fn fits(p: &Problem, placed: &[(usize, &[usize])], wishes: &dyn Fn(Wish) -> bool, stretch: u64) -> bool {
    let within = |loads: &[i128]| {
        loads.iter().enumerate().all(|(n, load)| {
            !wishes(Wish::Capacity(n))
                || *load * 1000 <= i128::from(p.nodes[n].capacity) * SCALE * i128::from(stretch)
        })
    };
    losses(p, placed, wishes, &mut |away, survives| {
        loads(p, placed, wishes, away, survives).is_some_and(|loads| within(&loads))
    })
}

type Of<'a> = &'a dyn Fn(usize) -> bool;

/// Looks at nothing lost, then at the loss of each node and of each zone that some volume survives: which nodes
/// are away, and which volumes survive that. Stops, and is false, at the first look that is.
fn losses(
    p: &Problem,
    placed: &[(usize, &[usize])],
    wishes: &dyn Fn(Wish) -> bool,
    look: &mut dyn FnMut(Of, Of) -> bool,
) -> bool {
    let never = |_: usize| false;
    if !look(&never, &never) {
        return false;
    }
    let node = |v: usize| p.volumes[v].survives_node && wishes(Wish::SurvivesNode(v));
    if placed.iter().any(|(v, _)| node(*v)) && !(0..p.nodes.len()).all(|gone| look(&|n| n == gone, &node)) {
        return false;
    }
    let zone = |v: usize| p.volumes[v].survives_zone && wishes(Wish::SurvivesZone(v));
    if !placed.iter().any(|(v, _)| zone(*v)) {
        return true;
    }
    let zones: BTreeSet<&str> = p.nodes.iter().map(|n| n.zone.as_str()).collect();
    zones.into_iter().all(|gone| look(&|n| p.nodes[n].zone == gone, &zone))
}

/// How far reserves are from fitting: what they ask beyond each node's capacity, now and with any one node or
/// zone away, all added up; 0 where they fit. A volume with no node left in a loss that it survives lacks its
/// whole reserve.
pub fn excess(p: &Problem, placed: &[(usize, &[usize])]) -> i128 {
    let every = |_: Wish| true;
    let mut all = 0;
    losses(p, placed, &every, &mut |away, survives| {
        let (gone, left): (Vec<(usize, &[usize])>, Vec<_>) =
            placed.iter().partition(|(_, set)| set.iter().all(|n| away(*n)));
        let lost = gone.iter().filter(|(v, _)| survives(*v));
        all += lost.map(|(v, _)| i128::from(p.volumes[*v].reserve) * SCALE).sum::<i128>();
        let loads = loads(p, &left, &every, away, survives).expect("each has a node left");
        let room = |n: usize| i128::from(p.nodes[n].capacity) * SCALE;
        all += loads.iter().enumerate().map(|(n, load)| (load - room(n)).max(0)).sum::<i128>();
        true
    });
    all
}

/// All volumes of a placement, each with its nodes.
pub fn placed(placement: &Placement) -> Vec<(usize, &[usize])> {
    placement.iter().map(Vec::as_slice).enumerate().collect()
}

/// Gain a second when every volume surges at once, scaled: at each node the reserve in full, then by weight
/// of nine tenths of what the reserves leave, then what is still free in order of price.
pub fn gain(p: &Problem, placement: &Placement) -> i128 {
    let at = |n: usize| {
        let here: Vec<usize> = (0..p.volumes.len()).filter(|v| placement[*v].contains(&n)).collect();
        part_gain(p, placement, n, &here)
    };
    (0..p.nodes.len()).map(at).sum()
}

/// Gain of one moment in which volumes ask for these rates, in thousandths a second, with a placement and
/// shares: what `gain` is for a surge of all.
pub fn gain_of(p: &Problem, placement: &Placement, shares: &[(u64, u64)], asked: &[u64]) -> i128 {
    let mut moment = p.clone();
    for (v, ((reserve, weight), asked)) in moment.volumes.iter_mut().zip(shares.iter().zip(asked)) {
        (v.reserve, v.weight, v.surge) = (*reserve, *weight, *asked);
    }
    gain(&moment, placement)
}

/// The part of it that one node gives the volumes that lie there.
pub fn part_gain(p: &Problem, placement: &Placement, n: usize, here: &[usize]) -> i128 {
    let part = |v: usize, rate: u64| i128::from(rate) * SCALE / placement[v].len() as i128;
    // A reserve that is not asked for is lent out.
    let reserved = |v: usize| part(v, p.volumes[v].reserve.min(p.volumes[v].surge));
    let reserves: i128 = here.iter().map(|v| reserved(*v)).sum();
    let capacity = i128::from(p.nodes[n].capacity) * SCALE;
    let spare = (capacity - reserves).max(0);
    let weights: i128 = here.iter().map(|v| i128::from(p.volumes[*v].weight)).sum();
    let (mut gain, mut free) = (0, spare);
    let mut rest = Vec::new();
    for v in here {
        let volume = &p.volumes[*v];
        let (asked, inside) = (part(*v, volume.surge), reserved(*v));
        let price = i128::from(volume.price);
        gain += inside * RESERVE_GAIN * price;
        let share = spare * SHARE_PART * i128::from(volume.weight) / (SHARE_OF * weights.max(1));
        let shared = share.min(asked - inside);
        gain += shared * SHARE_GAIN * price;
        free -= shared;
        rest.push((price, asked - inside - shared));
    }
    rest.sort_unstable_by(|a, b| b.cmp(a));
    for (price, asked) in rest {
        let served = asked.min(free);
        gain += served * REST_GAIN * price;
        free -= served;
    }
    gain
}

/// Data that has to move to a node set, scaled: its part of each node that it does not lie on today.
pub fn moved(p: &Problem, volume: usize, set: &[usize]) -> u128 {
    let v = &p.volumes[volume];
    let fresh = set.iter().filter(|n| !v.today.contains(&p.nodes[**n].name)).count();
    u128::from(v.size) * SCALE as u128 / set.len() as u128 * fresh as u128
}

pub fn cost(p: &Problem, used: impl Iterator<Item = usize>) -> u128 {
    let mut nodes: Vec<usize> = used.collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes.iter().map(|n| u128::from(p.nodes[*n].cost)).sum()
}

/// What a whole placement is worth.
pub fn worth(p: &Problem, placement: &Placement) -> Worth {
    Worth {
        gain: gain(p, placement),
        cost: Reverse(cost(p, placement.iter().flatten().copied())),
        moved: Reverse(placement.iter().enumerate().map(|(v, s)| moved(p, v, s)).sum()),
        order: Reverse(placement.clone()),
    }
}
