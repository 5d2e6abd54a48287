package configwatch

import (
	"context"
	"log/slog"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// maxUnsplitObjectBytes is the size up to which a document is stored in one object. Longer documents
// are stored in parts, because an object holds at most 1 MB.
const maxUnsplitObjectBytes = 256 << 10

// applyObject puts the configuration of an object into force if it is a newer valid version. It
// reports false if parts of its document could not be read.
func (c *Controller) applyObject(ctx context.Context, object objects.Object, source string) bool {
	if c.isRejected(object.Version) {
		return true
	}
	entry, _ := c.options.Board.Config.Get(blackboard.ConfigKey)
	document := object.Value
	if object.Version > entry.Value.Version {
		var err error
		if document, err = ReadDocument(ctx, c.options.Store, object.Value, entry.Value.Document); err != nil {
			event.ConfigFetchFailed.Log(ctx, c.options.Logger, slog.String("from", "object API"), slog.String("error", err.Error()))
			return false
		}
	}
	c.applyVersion(ctx, object.Version, document, "object API", source)
	return true
}

// ReadDocument returns the document for the value of a configuration object, which is either the
// document itself or a manifest of its parts. Parts that the earlier document previous contains are
// not read from the store; previous may be nil. Errors are those of the store, or of kind
// fault.InvalidConfiguration if the manifest is malformed or the parts do not match its digest.
func ReadDocument(ctx context.Context, store objects.Store, value, previous []byte) ([]byte, error) {
	manifest, isManifest, err := configsync.DecodeManifest(value)
	if err != nil || !isManifest {
		return value, err
	}
	reusable := map[configsync.PartID][]byte{}
	for _, p := range configsync.Split(previous) {
		reusable[p.ID] = p.Content
	}
	contents := make([][]byte, len(manifest.Parts))
	for i, id := range manifest.Parts {
		content, ok := reusable[id]
		if !ok {
			if content, err = readPart(ctx, store, id); err != nil {
				return nil, err
			}
		}
		contents[i] = content
	}
	return configsync.Join(manifest.Digest, contents)
}

func readPart(ctx context.Context, store objects.Store, id configsync.PartID) ([]byte, error) {
	o, err := store.Get(ctx, configsync.PartObjectName(id))
	if err != nil {
		return nil, err
	}
	return configsync.Decompress(o.Value)
}

// storeParts stores those parts of a document that version ifVersion of the configuration does not
// contain. It returns the encoded manifest as value and, as replaced, the objects of parts that only
// version ifVersion uses.
func storeParts(ctx context.Context, store objects.Store, document []byte, ifVersion uint64) (value []byte, replaced []objects.Object, err error) {
	old, err := manifestAt(ctx, store, ifVersion)
	if err != nil {
		return nil, nil, err
	}
	inUse := map[configsync.PartID]bool{}
	for _, id := range old.Parts {
		inUse[id] = true
	}
	manifest, parts := configsync.NewManifest(document)
	needed := map[configsync.PartID]bool{}
	for _, p := range parts {
		if !inUse[p.ID] && !needed[p.ID] {
			if err := storePart(ctx, store, p); err != nil {
				return nil, nil, err
			}
		}
		needed[p.ID] = true
	}
	for _, id := range old.Parts {
		if needed[id] {
			continue
		}
		if o, err := store.Get(ctx, configsync.PartObjectName(id)); err == nil {
			replaced = append(replaced, o)
		}
	}
	return manifest.Encode(), replaced, nil
}

// manifestAt returns the manifest in the configuration object if the object is at the given version.
// The manifest is empty if the object holds an unsplit document or another version; the caller then
// treats no part as in use.
func manifestAt(ctx context.Context, store objects.Store, version uint64) (configsync.Manifest, error) {
	current, err := store.Get(ctx, configsync.CurrentObjectName)
	if fault.Is(err, fault.NotFound) {
		return configsync.Manifest{}, nil
	}
	if err != nil || current.Version != version {
		return configsync.Manifest{}, err
	}
	manifest, isManifest, err := configsync.DecodeManifest(current.Value)
	if err != nil || !isManifest {
		return configsync.Manifest{}, nil
	}
	return manifest, nil
}

// storePart writes the object of a part. An existing object is written again: this changes its
// version and so prevents a concurrent deleteParts of another operator from removing it. After a lost
// response the write is repeated, which is safe because the content is the same.
func storePart(ctx context.Context, store objects.Store, p configsync.Part) error {
	name := configsync.PartObjectName(p.ID)
	value := configsync.Compress(p.Content)
	var err error
	for range maxPartAttempts {
		var version uint64
		existing, getErr := store.Get(ctx, name)
		switch {
		case getErr == nil:
			version = existing.Version
		case !fault.Is(getErr, fault.NotFound):
			return getErr
		}
		if _, err = store.Put(ctx, name, value, version); err == nil {
			return nil
		}
		if !fault.Is(err, fault.Conflict) && fault.As(err).Work != fault.Unknown {
			return err
		}
	}
	return err
}

// maxPartAttempts bounds the attempts to store a part that others write concurrently.
const maxPartAttempts = 4

// deleteParts removes the parts that the new configuration does not use. A part that was written
// again after storeParts read its version is kept, because another configuration may use it. Errors
// are ignored: a part that is left over only takes space.
func deleteParts(ctx context.Context, store objects.Store, parts []objects.Object) {
	for _, o := range parts {
		_ = store.Delete(ctx, o.Name, o.Version)
	}
}
