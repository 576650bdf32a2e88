//! Division of a volume's rate limit into quotas of hosts.
use std::cmp::Reverse;

/// Divides a rate limit into one integer quota per host, in proportion to the rates in `sent` that the hosts send to the
/// volume. The quotas add up to the limit. No quota is below `floor_per_mille` thousandths of an even one, since an idle
/// host may start to send at any moment.
#[must_use]
pub fn split_limit(limit: u64, sent: &[u64], floor_per_mille: u64) -> Vec<u64> {
    let hosts = sent.len() as u128;
    if hosts == 0 {
        return Vec::new();
    }
    let floor = u128::from(limit) / hosts * u128::from(floor_per_mille.min(1000)) / 1000;
    let above_floors = u128::from(limit) - floor * hosts;
    let total_sent: u128 = sent.iter().map(|rate| u128::from(*rate)).sum();
    let proportional = |rate: u64| {
        (above_floors * u128::from(rate))
            .checked_div(total_sent)
            .unwrap_or(above_floors / hosts)
    };
    let mut quotas: Vec<u64> = sent
        .iter()
        .map(|rate| (floor + proportional(*rate)) as u64)
        .collect();
    // The remainder of the rounding is distributed in thousandths of a unit, starting with the hosts that send most.
    let mut by_rate: Vec<usize> = (0..sent.len()).collect();
    by_rate.sort_by_key(|host| (Reverse(sent[*host]), *host));
    let remainder = limit - quotas.iter().sum::<u64>();
    for host in by_rate.iter().cycle().take(remainder as usize) {
        quotas[*host] += 1;
    }
    quotas
}
