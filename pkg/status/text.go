package status

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes the document as tables.
func (d *Document) Text(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "node %s at %s, configuration version %d\n", d.Node, d.At.Format(time.RFC3339), d.ConfigVersion)
	if len(d.OtherConfigVersion) > 0 {
		fmt.Fprintf(table, "other configuration version on: %s\n", strings.Join(d.OtherConfigVersion, ", "))
	}
	fmt.Fprintln(table, "\nNODE\tDATA CENTRE\tREGION\tSTATE\tDRAINING\tCONFIG\tEVIDENCE AGE")
	for _, n := range d.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%d\t%.1fs\n", n.Name, n.DataCentre, n.Region, n.State, n.Draining, n.ConfigVersion, n.EvidenceAgeSeconds)
	}
	fmt.Fprintln(table, "\nENGINE\tDATA CENTRE\tMODEL\tWEIGHTS\tREACHABLE\tLEAVING\tOWNER\tRUNNING\tQUEUED\tBACKLOG TOKENS")
	for _, e := range d.Engines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%t\t%s\t%d\t%d\t%d\n", e.ID, e.DataCentre, e.Model, e.WeightsVersion, e.Reachable, e.Leaving, e.Owner, e.Running, e.Queued, e.BacklogTokens)
	}
	d.writeOptionalTables(table)
	return table.Flush()
}

// writeOptionalTables writes the tables of services, leases, limits and suspect owners, each only if it
// has rows.
func (d *Document) writeOptionalTables(w io.Writer) {
	if len(d.Services) > 0 {
		fmt.Fprintln(w, "\nSERVICE\tBACKEND SERVER\tREACHABLE\tLEAVING")
	}
	for _, s := range d.Services {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\n", s.Service, s.Address, s.Reachable, s.Leaving)
	}
	if len(d.Leases) > 0 {
		fmt.Fprintln(w, "\nLEASE\tHOLDER\tFENCING\tLEFT")
	}
	for _, l := range d.Leases {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1fs\n", l.Name, l.Holder, l.Fencing, l.LeftSeconds)
	}
	if len(d.Limits) > 0 {
		fmt.Fprintln(w, "\nWORKSPACE\tLIMIT REQUESTS/S\tDEMAND OF NODE\tSHARE OF NODE\tLIMIT CONCURRENCY\tRUNNING ON NODE\tSHARE OF NODE")
	}
	for _, l := range d.Limits {
		requests, concurrency := "even part", "even part"
		if l.HasShare {
			requests, concurrency = fmt.Sprintf("%.1f", l.ShareRequestsPerSecond), fmt.Sprint(l.ShareConcurrency)
		}
		fmt.Fprintf(w, "%s\t%g\t%.1f\t%s\t%d\t%d\t%s\n", l.Workspace, l.LimitRequestsPerSecond, l.DemandRequestsPerSecond, requests, l.LimitConcurrency, l.Running, concurrency)
	}
	if len(d.SuspectOwners) > 0 {
		fmt.Fprintln(w, "\nENGINE WITH DOUBTFUL OWNER\tOWNER\tREASON")
	}
	for _, o := range d.SuspectOwners {
		fmt.Fprintf(w, "%s\t%s\t%s\n", o.Engine, o.Owner, o.Reason)
	}
}
