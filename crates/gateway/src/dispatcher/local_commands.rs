//! What the host answers itself: a unit says what it is, and nothing goes to a node.
use super::*;

impl Dispatcher {
    /// What the host answers itself.
    pub(super) fn own(
        &mut self,
        client: u32,
        task: u32,
        vol: Option<usize>,
        scsi: std::result::Result<Scsi, Sense>,
    ) {
        let scsi = match scsi {
            Ok(scsi) => scsi,
            Err(sense) => return self.refuse(client, task, sense),
        };
        let cut = |mut data: Vec<u8>, room: usize| {
            data.truncate(room);
            data
        };
        match scsi {
            Scsi::ReportLuns { select, room } => {
                self.learn_units();
                let luns = self.volumes.iter().map(|v| v.lun).chain(self.units.keys().copied());
                let data = scsi::report_luns(luns, select);
                return self.good(client, task, &cut(data, room));
            }
            Scsi::RequestSense { room } => {
                let sense = if vol.is_some() { Sense(0, 0, 0) } else { Sense::NO_SUCH_LUN };
                return self.good(client, task, &cut(sense.bytes().to_vec(), room));
            }
            Scsi::Inquiry { page: None, room } if vol.is_none() => {
                // No unit at this number (SPC-4, 6.4.2): qualifier 3, type 1Fh.
                let mut data = vec![0x7f, 0, 6, 2, 31];
                data.resize(36, 0);
                return self.good(client, task, &cut(data, room));
            }
            _ => {}
        }
        let Some(volume) = vol.map(|v| &self.volumes[v]) else {
            return self.refuse(client, task, Sense::NO_SUCH_LUN);
        };
        let unit = Unit {
            blocks: volume.blocks,
            block_size: volume.block_size,
            product: &volume.name,
            serial: &volume.name,
            most: (self.longest / u64::from(volume.block_size)).min(u64::from(u32::MAX)) as u32,
        };
        let data = match scsi {
            Scsi::TestUnitReady => Some(Vec::new()),
            // Writes are answered when a node has them: nothing is cached here.
            Scsi::SynchronizeCache { lba, blocks } => {
                let end = lba.checked_add(blocks.into());
                if end.is_none_or(|end| end > volume.blocks) {
                    return self.refuse(client, task, Sense::OUT_OF_RANGE);
                }
                Some(Vec::new())
            }
            Scsi::Inquiry { page, room } => unit.inquiry(page).map(|d| cut(d, room)),
            Scsi::ReadCapacity10 => Some(unit.capacity10()),
            Scsi::ReadCapacity16 { room } => Some(cut(unit.capacity16(), room)),
            Scsi::ModeSense { ten, page, room } => unit.mode(ten, page).map(|d| cut(d, room)),
            Scsi::ModeSelect | Scsi::Unmap | Scsi::GetLbaStatus { .. } => None,
            Scsi::Read { .. } | Scsi::Write { .. } | Scsi::ReportLuns { .. } | Scsi::RequestSense { .. } => {
                None
            }
        };
        match data {
            Some(data) => self.good(client, task, &data),
            None => self.refuse(client, task, Sense::INVALID_FIELD),
        }
    }
}
