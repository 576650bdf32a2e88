//! Division of a rate limit among hosts: rounding must neither lose nor add a part of the limit.
use mallowseam_placement::limit_split::split_limit;

#[test]
fn quotas_add_up_to_the_limit_for_any_sent_rates() {
    for sent in [vec![0, 0, 0], vec![7, 1, 1], vec![u64::MAX, 1, 0], vec![5]] {
        for (limit, floor) in [(0, 100), (1, 0), (100_001, 100), (u64::MAX / 2, 1000)] {
            let quotas = split_limit(limit, &sent, floor);
            assert_eq!(
                quotas.iter().sum::<u64>(),
                limit,
                "sent {sent:?}, floor {floor}"
            );
        }
    }
    assert_eq!(split_limit(9_000, &[8, 1, 0], 300), [6_500, 1_600, 900]);
    assert!(split_limit(9_000, &[], 0).is_empty());
}
