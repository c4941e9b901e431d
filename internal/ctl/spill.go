package ctl

import (
	"fmt"
	"text/tabwriter"
)

// printSpill prints, by service and host, the forecast of each zone and the share of the host's new requests for it.
func (t *Tool) printSpill(reports []hostReport) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	hasHeader := false
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, s := range r.Status.EarlySpill {
			for _, z := range s.Zones {
				if !hasHeader {
					hasHeader = true
					fmt.Fprintln(w, "\nEARLY SPILL\tHOST\tZONE\tCAPACITY\tDEMAND\tEXPECTED\tREPORT AGE\tSHARE\tOFFERED\tSENT\tNO SLOT")
				}
				load := "-\t-\t-\t-"
				if z.AgeMS >= 0 {
					load = fmt.Sprintf("%.0f ms/s\t%.0f ms/s\t%.0f ms/s\t%d ms", z.Capacity, z.Demand, z.Expected, z.AgeMS)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f %%\t%d\t%d\t%d\n", s.Service, r.Status.Host, z.Zone, load, 100*z.Share, z.Offered, z.Sent, z.NoSlot)
			}
		}
	}
	w.Flush()
}
