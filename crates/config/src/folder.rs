//! Reads the files of a configuration folder.

use crate::error::ConfigErrors;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Suffix of configuration files. Other files in the folder are ignored.
const FILE_ENDING: &str = ".json";

/// Returns the contents of all configuration files in `folder`, keyed by file name.
///
/// # Errors
///
/// [`ConfigErrors::Unreadable`] if the folder or a file can't be read, or the folder contains no
/// configuration file.
pub fn read_folder(folder: &Path) -> Result<BTreeMap<String, String>, ConfigErrors> {
    let unreadable =
        |path: &Path, reason: String| ConfigErrors::Unreadable(path.display().to_string(), reason);
    let entries = fs::read_dir(folder).map_err(|err| unreadable(folder, err.to_string()))?;
    let mut files = BTreeMap::new();
    for entry in entries {
        let entry = entry.map_err(|err| unreadable(folder, err.to_string()))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if !name.ends_with(FILE_ENDING) {
            continue;
        }
        let path = entry.path();
        let text = fs::read_to_string(&path).map_err(|err| unreadable(&path, err.to_string()))?;
        files.insert(name, text);
    }
    match files.is_empty() {
        true => Err(unreadable(folder, format!("the folder has no file ending in {FILE_ENDING}"))),
        false => Ok(files),
    }
}
