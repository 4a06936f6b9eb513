package dispatch_test

import (
	"fmt"

	"cuminhollow.example/booking"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/record"
)

// A node in zone kutch-a picks the VM of its own zone first.
func Example() {
	document, err := record.Parse("vms/sealing", []byte(`schema: 1
revision: 1
service: sealing
vms:
  - {name: s-1, region: kutch, zone: kutch-a, address: "127.0.0.1:7001", state: live}
  - {name: s-2, region: dangs, zone: dangs-a, address: "127.0.0.1:7002", state: live}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	router := dispatch.NewRouter("d-1", dispatch.Locality{Region: "kutch", Zone: "kutch-a"})
	router.Update(document.Content().(*record.Roster))

	request := dispatch.Request{Service: "sealing", Class: booking.ClassOf(true, 0)}
	pick, err := router.Pick(0, request)
	fmt.Println(pick.VM.Name(), err)
	request.Exclude = []string{"s-1"}
	pick, err = router.Pick(0, request)
	fmt.Println(pick.VM.Name(), err)
	// Output:
	// s-1 <nil>
	// s-2 <nil>
}
