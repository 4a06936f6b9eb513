package depot

// vmLimitSettings are the limits of the VM on one process. The zero value means
// that they are unknown.
type vmLimitSettings struct {
	// Memory is the memory of the process, in megabytes.
	Memory int `yaml:"memory_mb"`
	// Descriptors is the number of file descriptors that it may open.
	Descriptors int `yaml:"descriptors"`
}

// callerConnsShare is the share of the descriptors for the connections of callers.
// The others are for the upstream, for other nodes and for files.
const callerConnsShare = 0.5

// bodyMemory returns the memory for the bodies of calls in flight, in bytes.
func (l vmLimitSettings) bodyMemory() int64 {
	if l.Memory == 0 {
		return defaultBodyMemory
	}
	return int64(float64(l.Memory) * (1 << 20) * bodyMemoryShare)
}

// answerMemory returns the memory for answers of the upstream that are being read, in
// bytes.
func (l vmLimitSettings) answerMemory() int64 {
	if l.Memory == 0 {
		return defaultAnswerMemory
	}
	return int64(float64(l.Memory) * (1 << 20) * answerMemoryShare)
}

// maxCallerConns returns the maximum number of connections of callers; 0 for the
// default.
func (l vmLimitSettings) maxCallerConns() int {
	return int(float64(l.Descriptors) * callerConnsShare)
}
