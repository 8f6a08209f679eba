//! Memory of frames that are stated but don't arrive. Alone in its program, since it measures the
//! whole process.

use std::time::Duration;

use stageyoke_store::frame::{self, MAX_FRAME_BYTES};
use stageyoke_store::message::{Numbered, Request};
use tokio::io::{AsyncWriteExt, duplex};
use tokio::task::LocalSet;

fn virtual_memory_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmSize:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = value.and_then(|value| value.parse().ok()).expect("a size");
    kilobytes * 1024
}

#[tokio::test]
async fn no_memory_is_reserved_for_content_that_has_not_arrived() {
    const FRAMES: usize = 64;
    let test = async {
        let before = virtual_memory_bytes();
        let mut writers = Vec::new();
        for _ in 0..FRAMES {
            let (mut writer, mut reader) = duplex(1024);
            let length = MAX_FRAME_BYTES as u32;
            writer.write_all(&length.to_le_bytes()).await.expect("open");
            writer.write_all(&[0; 16]).await.expect("open");
            writers.push(writer);
            tokio::task::spawn_local(
                async move { frame::read::<Numbered<Request>>(&mut reader).await },
            );
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let growth = virtual_memory_bytes().saturating_sub(before);
        let stated = (FRAMES * MAX_FRAME_BYTES) as u64;
        assert!(growth < stated / 4, "{growth} of {stated} bytes");
    };
    LocalSet::new().run_until(test).await;
}
