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

// storeWholeBytes is the size up to which a document is stored in one object. Longer ones are
// stored in parts, because an object holds at most 1 MB.
const maxUnsplitObjectBytes = 256 << 10

// storeObject puts the configuration of an object into force and reports whether its document
// could be read.
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

// ReadDocument returns the document of the configuration object's value. Parts that are in own,
// an earlier document, are not read again. Errors are those of the store, and
// fault.InvalidConfiguration for parts that do not fit.
func ReadDocument(ctx context.Context, store objects.Store, value, previous []byte) ([]byte, error) {
	manifest, inParts, err := configsync.DecodeManifest(value)
	if err != nil || !inParts {
		return value, err
	}
	known := map[configsync.PartID][]byte{}
	for _, p := range configsync.Split(previous) {
		known[p.ID] = p.Content
	}
	contents := make([][]byte, len(manifest.Parts))
	for i, id := range manifest.Parts {
		content, ok := known[id]
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
	o, err := store.Get(ctx, configsync.PartObject(id))
	if err != nil {
		return nil, err
	}
	return configsync.Decompress(o.Value)
}

// storeParts stores the parts of a document that version ifVersion of the configuration does not
// have, and returns the manifest's object and the parts that only that version needs.
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
		if o, err := store.Get(ctx, configsync.PartObject(id)); err == nil {
			replaced = append(replaced, o)
		}
	}
	return manifest.Encode(), replaced, nil
}

// manifestAt returns the manifest that the configuration object holds at a version. It is empty
// if the object holds a whole document or another version: then no part is taken to be in use.
func manifestAt(ctx context.Context, store objects.Store, version uint64) (configsync.Manifest, error) {
	current, err := store.Get(ctx, configsync.Object)
	if fault.Is(err, fault.NotFound) {
		return configsync.Manifest{}, nil
	}
	if err != nil || current.Version != version {
		return configsync.Manifest{}, err
	}
	m, inParts, err := configsync.DecodeManifest(current.Value)
	if err != nil || !inParts {
		return configsync.Manifest{}, nil
	}
	return m, nil
}

// storePart creates a part's object. One that exists is written again, which changes its version
// and so keeps another operator's deleteParts from removing it. A lost answer needs no care: the
// next attempt finds the same content.
func storePart(ctx context.Context, store objects.Store, p configsync.Part) error {
	name := configsync.PartObject(p.ID)
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

// partAttempts bounds the attempts to store a part while others write it, too.
const maxPartAttempts = 4

// deleteParts removes parts that the new configuration does not need, unless somebody wrote them
// again since they were read before the configuration was replaced. A part that stays behind
// after an error only takes space.
func deleteParts(ctx context.Context, store objects.Store, parts []objects.Object) {
	for _, o := range parts {
		_ = store.Delete(ctx, o.Name, o.Version)
	}
}
