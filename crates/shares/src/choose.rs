//! Weights, reserves and limits' parts that a problem leaves open, for a placement that is settled. Each choice
//! is kept only if it gains: the figures given stand where nothing better is found.
use crate::model::{Problem, SCALE, Wish};
use crate::value::{Placement, SHARE_OF, SHARE_PART, fits, gain, placed};

/// Weights that are chosen lie between 1 and this: fine enough for parts of a thousandth.
pub const WEIGHT_MOST: u64 = 1_000;

/// Figures of each volume, in the problem's units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    pub weights: Vec<u64>,
    pub reserves: Vec<u64>,
    /// Gain in a surge of all with these figures, and with those given.
    pub gain: i128,
    pub before: i128,
}

/// Chooses reserves up to what each volume may have at most, then weights.
pub fn choose(p: &Problem, placement: &Placement) -> Chosen {
    let before = gain(p, placement);
    let reserves = reserves(p, placement);
    let mut raised = p.clone();
    raised.volumes.iter_mut().zip(&reserves).for_each(|(v, r)| v.reserve = *r);
    let given: Vec<u64> = p.volumes.iter().map(|v| v.weight).collect();
    let weighed = |weights: &[u64]| {
        let mut q = raised.clone();
        q.volumes.iter_mut().zip(weights).for_each(|(v, w)| v.weight = *w);
        gain(&q, placement)
    };
    let mut best = (weighed(&given), given);
    let start = weights(&raised, placement);
    let found = climb(&raised, placement, &weighed, start);
    if found.0 > best.0 {
        best = found;
    }
    Chosen { weights: best.1, reserves, gain: best.0, before }
}

/// Raises reserves, the dearest first, each by as much as fits now and in every loss that is survived.
fn reserves(p: &Problem, placement: &Placement) -> Vec<u64> {
    let mut q = p.clone();
    let placed = placed(placement);
    let mut order: Vec<usize> = (0..p.volumes.len()).collect();
    order.sort_by_key(|v| (std::cmp::Reverse(p.volumes[*v].price), *v));
    for v in order {
        let (least, most) = (p.volumes[v].reserve, p.volumes[v].reserve_most.min(p.volumes[v].surge));
        let (mut low, mut high) = (least, most.max(least));
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            q.volumes[v].reserve = middle;
            if fits(&q, &placed, &|_: Wish| true, 1000) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        q.volumes[v].reserve = low;
    }
    q.volumes.iter().map(|v| v.reserve).collect()
}

/// Weights by what each volume would get if the shares of every node went to the dearest demand first.
fn weights(p: &Problem, placement: &Placement) -> Vec<u64> {
    let mut got = vec![0i128; p.volumes.len()];
    for n in 0..p.nodes.len() {
        let mut here: Vec<usize> = (0..p.volumes.len()).filter(|v| placement[*v].contains(&n)).collect();
        let part = |v: usize, rate: u64| i128::from(rate) * SCALE / placement[v].len() as i128;
        let reserved: i128 = here.iter().map(|v| part(*v, p.volumes[*v].reserve)).sum();
        let spare = (i128::from(p.nodes[n].capacity) * SCALE - reserved).max(0);
        let mut shares = spare * SHARE_PART / SHARE_OF;
        here.sort_by_key(|v| (std::cmp::Reverse(p.volumes[*v].price), *v));
        for v in here {
            let served = part(v, p.volumes[v].surge - p.volumes[v].reserve).min(shares);
            got[v] += served;
            shares -= served;
        }
    }
    let most = got.iter().copied().max().unwrap_or(0).max(1);
    // Nobody is left without any share: the dearest may be quiet.
    got.iter().map(|g| ((g * i128::from(WEIGHT_MOST) / most) as u64).max(1)).collect()
}

/// Doubles and halves one weight after another while that gains. A volume may lie on nodes that want different
/// weights of it, which the first guess does not see.
fn climb(
    p: &Problem,
    placement: &Placement,
    worth: &dyn Fn(&[u64]) -> i128,
    start: Vec<u64>,
) -> (i128, Vec<u64>) {
    // Each look weighs every node: large problems keep the first guess after fewer rounds.
    let rounds = (20_000 / (p.volumes.len() * placement.len()).max(1)).min(8);
    let mut best = (worth(&start), start);
    for _ in 0..rounds {
        let before = best.0;
        for v in 0..p.volumes.len() {
            for next in [best.1[v] * 2, best.1[v] / 2] {
                let mut weights = best.1.clone();
                weights[v] = next.clamp(1, WEIGHT_MOST);
                let gains = worth(&weights);
                if gains > best.0 {
                    best = (gains, weights);
                }
            }
        }
        if best.0 == before {
            break;
        }
    }
    best
}

/// Deals a limit to hosts by what they send of the volume, in whole parts that add up to the limit, no part less
/// than an even part of `floor` thousandths of it: a host that sends nothing now may begin any moment.
pub fn parts(limit: u64, sent: &[u64], floor: u64) -> Vec<u64> {
    let hosts = sent.len() as u128;
    if hosts == 0 {
        return Vec::new();
    }
    let even = u128::from(limit) / hosts * u128::from(floor.min(1000)) / 1000;
    let left = u128::from(limit) - even * hosts;
    let all: u128 = sent.iter().map(|s| u128::from(*s)).sum();
    let share = |s: u64| (left * u128::from(s)).checked_div(all).unwrap_or(left / hosts);
    let mut parts: Vec<u64> = sent.iter().map(|s| (even + share(*s)) as u64).collect();
    // What rounding left over goes to the first ones that send most, a thousandth each.
    let mut order: Vec<usize> = (0..sent.len()).collect();
    order.sort_by_key(|h| (std::cmp::Reverse(sent[*h]), *h));
    let over = limit - parts.iter().sum::<u64>();
    order.iter().cycle().take(over as usize).for_each(|h| parts[*h] += 1);
    parts
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::{Node, Volume};

    fn problem(volumes: Vec<Volume>) -> Problem {
        let node = |name: &str| Node { name: name.into(), zone: name.into(), capacity: 10_000, cost: 0 };
        Problem::new(vec![node("a"), node("b")], volumes).expect("sound")
    }

    fn volume(name: &str, surge: u64, price: u64) -> Volume {
        Volume { name: name.into(), surge, price, weight: 1, spread: 1, ..Volume::default() }
    }

    #[test]
    fn shares_go_to_the_dearest_demand_and_nobody_is_left_without() {
        let p = problem(vec![volume("u", 9_000, 1800), volume("v", 9_000, 1000)]);
        let at = vec![vec![0], vec![0]];
        let chosen = choose(&p, &at);
        assert!(chosen.gain > chosen.before);
        assert!(chosen.weights[0] > 100 * chosen.weights[1] && chosen.weights[1] > 0, "{chosen:?}");
    }

    #[test]
    fn weights_that_are_best_already_stay_as_they_are() {
        let p = problem(vec![volume("u", 4_000, 1000), volume("v", 4_000, 1000)]);
        let chosen = choose(&p, &vec![vec![0], vec![0]]);
        assert_eq!((chosen.weights, chosen.gain), (vec![1, 1], chosen.before));
    }

    #[test]
    fn reserves_rise_to_what_fits_with_any_node_away_and_no_further() {
        let open = |name: &str, price, most| Volume {
            reserve: 1_000,
            reserve_most: most,
            survives_node: true,
            spread: 2,
            ..volume(name, 9_000, price)
        };
        let p = problem(vec![open("u", 1000, 9_000), open("v", 1800, 6_500), open("w", 500, 0)]);
        let chosen = choose(&p, &vec![vec![0, 1]; 3]);
        // The dearest first, up to its most; with a node away the other bears all three.
        assert_eq!(chosen.reserves, [2_500, 6_500, 1_000]);
        assert!(chosen.gain > chosen.before);
    }

    #[test]
    fn parts_of_a_limit_add_up_to_it_whatever_is_sent() {
        for sent in [vec![0, 0, 0], vec![7, 1, 1], vec![u64::MAX, 1, 0], vec![5]] {
            for (limit, floor) in [(0, 100), (1, 0), (100_001, 100), (u64::MAX / 2, 1000)] {
                let parts = parts(limit, &sent, floor);
                assert_eq!(parts.iter().sum::<u64>(), limit, "{sent:?} {floor}");
            }
        }
        assert_eq!(parts(9_000, &[8, 1, 0], 300), [6_500, 1_600, 900]);
        assert!(parts(9_000, &[], 0).is_empty());
    }
}
