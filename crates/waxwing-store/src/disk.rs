//! Abstraction of a data folder's file operations, and its implementation with `std::fs`.

use std::{
    fs, io,
    io::{Read as _, Write as _},
    path,
};

/// A file that is only appended to.
pub trait DiskFile: Send + 'static {
    /// Appends `bytes`; a crash may lose them until `sync` has returned.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system; part of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything appended so far durable.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system; it is then unknown which bytes are durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A data folder without subfolders.
pub trait Disk: Send + 'static {
    /// The type of open files.
    type File: DiskFile;
    /// A held lock, released when dropped.
    type Lock: Send + 'static;

    /// Locks the folder by the lock file `name`; `None` means that another process holds the lock.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn lock(&self, name: &str) -> io::Result<Option<Self::Lock>>;

    /// Lists the names of all files.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, or truncates an existing one to zero length.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file and replaces any file that already has the name `to`.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Deletes a file.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and deletions durable by syncing the folder itself.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A data folder in the file system of the operating system.
#[derive(Debug, Clone)]
pub struct FolderDisk {
    folder: path::PathBuf,
}

impl FolderDisk {
    /// Opens the folder, and creates it with its parents if it doesn't exist.
    ///
    /// # Errors
    /// Returns the I/O error of the operating system.
    pub fn open(folder: &path::Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let disk = Self {
            folder: folder.to_path_buf(),
        };
        // Syncing the parent makes the new folder's own directory entry durable.
        if let Some(parent) = folder.parent().filter(|parent| parent.is_dir()) {
            fs::File::open(parent)?.sync_all()?;
        }
        Ok(disk)
    }
}

impl DiskFile for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Disk for FolderDisk {
    type File = fs::File;
    type Lock = fs::File;

    fn lock(&self, name: &str) -> io::Result<Option<Self::Lock>> {
        let file = fs::File::create(self.folder.join(name))?;
        match fs4::FileExt::try_lock(&file) {
            Ok(()) => Ok(Some(file)),
            Err(fs4::TryLockError::WouldBlock) => Ok(None),
            Err(fs4::TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut content = Vec::new();
        fs::File::open(self.folder.join(name))?.read_to_end(&mut content)?;
        Ok(content)
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        fs::File::create(self.folder.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        fs::File::open(&self.folder)?.sync_all()
    }
}
